package dispatch

import "fmt"

// ConnectError says that no connection to an endpoint came about: nothing was
// sent.
type ConnectError struct {
	Instance string
	Cause    error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("endpoint %s: connect: %v", e.Instance, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// IdentityError says that what answers at an endpoint's address is not the
// instance that the route table names.
type IdentityError struct {
	Instance string
	Field    string
	Want     string
	Got      string
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("endpoint %s: %s is %q, want %q", e.Instance, e.Field, e.Got, e.Want)
}

// UnhealthyError says that an endpoint answered its health check with
// something else than 200.
type UnhealthyError struct {
	Instance string
	Status   int
}

func (e *UnhealthyError) Error() string {
	return fmt.Sprintf("endpoint %s: health check answered %d", e.Instance, e.Status)
}

// NotSentError says that sending failed before the first byte.
type NotSentError struct {
	Instance string
	Cause    error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("endpoint %s: nothing sent: %v", e.Instance, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// EndpointRefusedError says that the endpoint stated that it did not run the
// request.
type EndpointRefusedError struct{ Instance string }

func (e *EndpointRefusedError) Error() string {
	return fmt.Sprintf("endpoint %s: refused without running the request", e.Instance)
}

// UnnamedRefusalError says that the endpoint stated that it did not run a
// request, but not which one.
type UnnamedRefusalError struct{ Instance string }

func (e *UnnamedRefusalError) Error() string {
	return fmt.Sprintf("endpoint %s: refusal names no request", e.Instance)
}

// UnaskedAnswerError says that more came on a connection than was asked for.
type UnaskedAnswerError struct{ Instance string }

func (e *UnaskedAnswerError) Error() string {
	return fmt.Sprintf("endpoint %s: unasked answer on the connection", e.Instance)
}

// BrokenAnswerError says that a request was sent at least in part and no whole
// answer came back.
type BrokenAnswerError struct {
	Instance string
	Cause    error
}

func (e *BrokenAnswerError) Error() string {
	return fmt.Sprintf("endpoint %s: broken answer: %v", e.Instance, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenAnswerError) Unwrap() error { return e.Cause }

// AnswerTimeoutError says that the deadline passed before the answer was
// complete.
type AnswerTimeoutError struct{ Instance string }

func (e *AnswerTimeoutError) Error() string {
	return fmt.Sprintf("endpoint %s: no answer before the deadline", e.Instance)
}

// UnframedAnswerError says that an answer has neither a length nor chunks, so
// that its end cannot be told from a lost connection.
type UnframedAnswerError struct{ Instance string }

func (e *UnframedAnswerError) Error() string {
	return fmt.Sprintf("endpoint %s: answer has neither length nor chunks", e.Instance)
}

// CrossedAnswerError says that the answer belongs to another request.
type CrossedAnswerError struct {
	Instance string
	Want     string
	Got      string
}

func (e *CrossedAnswerError) Error() string {
	return fmt.Sprintf("endpoint %s: answer to request %q, want %q", e.Instance, e.Got, e.Want)
}

// HeadTooLargeError says that the head of an answer passed the limit.
type HeadTooLargeError struct{ Limit int64 }

func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("answer head larger than %d bytes", e.Limit)
}

// InterimAnswersError says that an endpoint sent 1xx answers without end.
type InterimAnswersError struct{ Limit int }

func (e *InterimAnswersError) Error() string {
	return fmt.Sprintf("more than %d interim answers", e.Limit)
}

// DrainTimeoutError says that requests were still in flight when the time for
// a graceful shutdown was over.
type DrainTimeoutError struct{ InFlight int }

func (e *DrainTimeoutError) Error() string {
	return fmt.Sprintf("shutdown: %d requests still in flight", e.InFlight)
}

// PausedError says that the process was paused before it wrote a request, for
// so long that its endpoint may have left. Nothing was sent.
type PausedError struct{}

func (*PausedError) Error() string { return "paused before the request was written" }
