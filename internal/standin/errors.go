package standin

import "fmt"

// SpecError reports an invalid fleet description.
type SpecError struct {
	Field  string
	Detail string
}

func (e *SpecError) Error() string { return fmt.Sprintf("fleet %s: %s", e.Field, e.Detail) }

// ListenError reports that a listener could not be opened.
type ListenError struct {
	Addr  string
	Cause error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Addr, e.Cause) }

// Unwrap returns the underlying error.
func (e *ListenError) Unwrap() error { return e.Cause }

// UnknownInstanceError reports that no instance has this id.
type UnknownInstanceError struct{ ID string }

func (e *UnknownInstanceError) Error() string { return fmt.Sprintf("instance %q is unknown", e.ID) }

// ConflictError reports that the current state of an instance does not allow the
// call.
type ConflictError struct {
	Instance string
	Detail   string
}

func (e *ConflictError) Error() string { return fmt.Sprintf("instance %q: %s", e.Instance, e.Detail) }

// RequestError reports a malformed call.
type RequestError struct {
	Field  string
	Detail string
}

func (e *RequestError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Detail) }

// ControlError reports a failed control API call.
type ControlError struct {
	Path   string
	Status int
	Detail string
	Cause  error
}

func (e *ControlError) Error() string {
	return fmt.Sprintf("control %s: status %d %s: %v", e.Path, e.Status, e.Detail, e.Cause)
}

// Unwrap returns the underlying error.
func (e *ControlError) Unwrap() error { return e.Cause }
