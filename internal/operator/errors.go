package operator

import "fmt"

// TLSRequiredError reports a listen address other than loopback without mutual
// TLS, which would expose state dumps to anyone on the network.
type TLSRequiredError struct{ Listen string }

func (e *TLSRequiredError) Error() string {
	return fmt.Sprintf("operator: mutual TLS is required to listen on %s; without it only loopback is allowed", e.Listen)
}

// ListenError reports that the server could not listen on its address.
type ListenError struct {
	Listen string
	Cause  error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("operator: listen on %s: %v", e.Listen, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// CloseError reports that the server could not shut down gracefully.
type CloseError struct{ Cause error }

func (e *CloseError) Error() string { return fmt.Sprintf("operator: close: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CloseError) Unwrap() error { return e.Cause }
