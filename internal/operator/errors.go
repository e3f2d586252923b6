package operator

import "fmt"

// TLSRequiredError says that the operators' address is reachable from other
// machines and no mutual TLS is set up: a dump would be open to anybody.
type TLSRequiredError struct{ Listen string }

func (e *TLSRequiredError) Error() string {
	return fmt.Sprintf("operator: mutual TLS is required to listen on %s; without it only loopback is allowed", e.Listen)
}

// ListenError says that the operators' address could not be opened.
type ListenError struct {
	Listen string
	Cause  error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("operator: listen on %s: %v", e.Listen, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// CloseError says that the server did not stop in order.
type CloseError struct{ Cause error }

func (e *CloseError) Error() string { return fmt.Sprintf("operator: close: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CloseError) Unwrap() error { return e.Cause }
