package intake

import (
	"fmt"
	"time"
)

// GivenUpError reports a connection that was closed because its client made the least progress while
// others needed the memory.
type GivenUpError struct{}

func (*GivenUpError) Error() string { return "closed for other clients: the request made no progress" }

// Timeout makes the HTTP server close the connection without an answer of its own.
func (*GivenUpError) Timeout() bool { return true }

// Temporary belongs to net.Error.
func (*GivenUpError) Temporary() bool { return false }

// NoMemoryError reports a request for which the memory of clients has no room.
type NoMemoryError struct {
	// Bytes is what the request needs beyond what it holds.
	Bytes int64
}

func (e *NoMemoryError) Error() string {
	return fmt.Sprintf("no memory for %d more bytes of the request", e.Bytes)
}

// TooLargeError reports a body larger than its limit.
type TooLargeError struct {
	// Limit is in bytes.
	Limit int64
}

func (e *TooLargeError) Error() string { return fmt.Sprintf("body larger than %d bytes", e.Limit) }

// SlowError reports a body that did not arrive in time.
type SlowError struct {
	// Received is how much had arrived, in bytes.
	Received int64
	Waited   time.Duration
}

func (e *SlowError) Error() string {
	return fmt.Sprintf("body incomplete after %v, %d bytes received", e.Waited.Round(time.Millisecond), e.Received)
}

// BrokenError reports a body that ended early or whose framing is invalid.
type BrokenError struct{ Cause error }

func (e *BrokenError) Error() string { return "body: " + e.Cause.Error() }

// Unwrap returns the error of the connection or its framing.
func (e *BrokenError) Unwrap() error { return e.Cause }
