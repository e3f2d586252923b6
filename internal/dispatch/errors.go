package dispatch

import "fmt"

// ConnectError reports that no connection to an endpoint could be established.
// Nothing was sent.
type ConnectError struct {
	Instance string
	Cause    error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("endpoint %s: connect: %v", e.Instance, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// IdentityError reports that the instance at an endpoint's address is not the
// one in the route table.
type IdentityError struct {
	Instance string
	Field    string
	Want     string
	Got      string
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("endpoint %s: %s is %q, want %q", e.Instance, e.Field, e.Got, e.Want)
}

// UnhealthyError reports that an endpoint's health check returned a status
// other than 200.
type UnhealthyError struct {
	Instance string
	Status   int
}

func (e *UnhealthyError) Error() string {
	return fmt.Sprintf("endpoint %s: health check returned status %d", e.Instance, e.Status)
}

// NotSentError reports that sending failed before the first byte.
type NotSentError struct {
	Instance string
	Cause    error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("endpoint %s: nothing sent: %v", e.Instance, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// EndpointRefusedError reports that the endpoint stated that it did not run the
// request.
type EndpointRefusedError struct{ Instance string }

func (e *EndpointRefusedError) Error() string {
	return fmt.Sprintf("endpoint %s: refused without running the request", e.Instance)
}

// UnnamedRefusalError reports that the endpoint stated that it did not run a
// request without giving the request's ID.
type UnnamedRefusalError struct{ Instance string }

func (e *UnnamedRefusalError) Error() string {
	return fmt.Sprintf("endpoint %s: refusal carries no request ID", e.Instance)
}

// UnaskedAnswerError reports unsolicited data on a connection.
type UnaskedAnswerError struct{ Instance string }

func (e *UnaskedAnswerError) Error() string {
	return fmt.Sprintf("endpoint %s: unsolicited data on the connection", e.Instance)
}

// BrokenAnswerError reports that at least part of a request was sent and no
// complete response was received.
type BrokenAnswerError struct {
	Instance string
	Cause    error
}

func (e *BrokenAnswerError) Error() string {
	return fmt.Sprintf("endpoint %s: incomplete response: %v", e.Instance, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenAnswerError) Unwrap() error { return e.Cause }

// AnswerTimeoutError reports that the deadline passed before the response was
// complete.
type AnswerTimeoutError struct{ Instance string }

func (e *AnswerTimeoutError) Error() string {
	return fmt.Sprintf("endpoint %s: no response before the deadline", e.Instance)
}

// UnframedAnswerError reports a response with neither a length nor chunks,
// whose end cannot be distinguished from a lost connection.
type UnframedAnswerError struct{ Instance string }

func (e *UnframedAnswerError) Error() string {
	return fmt.Sprintf("endpoint %s: response has neither length nor chunks", e.Instance)
}

// CrossedAnswerError reports a response that belongs to another request.
type CrossedAnswerError struct {
	Instance string
	Want     string
	Got      string
}

func (e *CrossedAnswerError) Error() string {
	return fmt.Sprintf("endpoint %s: response to request %q, want %q", e.Instance, e.Got, e.Want)
}

// HeadTooLargeError reports that the head of a response exceeded the limit.
type HeadTooLargeError struct{ Limit int64 }

func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("response head larger than %d bytes", e.Limit)
}

// InterimAnswersError reports that an endpoint sent too many 1xx responses.
type InterimAnswersError struct{ Limit int }

func (e *InterimAnswersError) Error() string {
	return fmt.Sprintf("more than %d interim (1xx) responses", e.Limit)
}

// DrainTimeoutError reports that requests were still in flight when the time
// for a graceful shutdown expired.
type DrainTimeoutError struct{ InFlight int }

func (e *DrainTimeoutError) Error() string {
	return fmt.Sprintf("shutdown: %d requests still in flight", e.InFlight)
}

// PausedError reports that the process was paused before it wrote a request,
// for so long that the endpoint may have left. Nothing was sent.
type PausedError struct{}

func (*PausedError) Error() string { return "paused before the request was written" }
