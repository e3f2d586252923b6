package peer

import (
	"fmt"
	"reflect"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// UnreachableError reports that the message was certainly not handled: it was
// not sent in full, or the peer refused it.
type UnreachableError struct {
	Peer  string
	Kind  string
	Cause error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer %s: %s not sent: %v", e.Peer, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports that the message was sent and its answer was
// lost: it may have been handled.
type OutcomeUnknownError struct {
	Peer  string
	Kind  string
	Cause error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("peer %s: outcome of %s unknown: %v", e.Peer, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	// Kind is the kind of the message.
	Kind string
	// Type is the Go type of the handler's error, such as
	// "idempotency.NotOwnerError".
	Type string
	// Detail is the text of the handler's error, for logs only.
	Detail string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s: remote %s: %s", e.Kind, e.Type, e.Detail)
}

// UnknownPeerError reports an ID that is not among the wanted peers.
type UnknownPeerError struct{ ID string }

func (e *UnknownPeerError) Error() string { return fmt.Sprintf("no peer %q", e.ID) }

// ClosedError reports that this node is closed, closing or not started.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "node is not running" }

// BackoffError reports that the last dial failed and that the next one is not
// due yet.
type BackoffError struct {
	Wait  time.Duration
	Cause error
}

func (e *BackoffError) Error() string {
	return fmt.Sprintf("dial failed, next one in %s: %v", e.Wait, e.Cause)
}

// Unwrap returns the failure of the last dial.
func (e *BackoffError) Unwrap() error { return e.Cause }

// CertificateError reports why a certificate was rejected.
type CertificateError struct {
	Detail string
	Cause  error
}

func (e *CertificateError) Error() string {
	if e.Cause == nil {
		return "certificate: " + e.Detail
	}
	return fmt.Sprintf("certificate: %s: %v", e.Detail, e.Cause)
}

// Unwrap returns the cause.
func (e *CertificateError) Unwrap() error { return e.Cause }

// IdentityError reports that a peer has another identity than expected: its
// hello differs from its certificate, or another process answers at the
// address.
type IdentityError struct{ Want, Got string }

func (e *IdentityError) Error() string {
	return fmt.Sprintf("peer should be %s and is %s", e.Want, e.Got)
}

// StaleBootError reports that a newer boot of the same process is current.
type StaleBootError struct{ ID, BootID, Current string }

func (e *StaleBootError) Error() string {
	return fmt.Sprintf("boot %s of %s is older than %s", e.BootID, e.ID, e.Current)
}

// RefusedError reports that the peer closed the connection, and why.
type RefusedError struct {
	Code   string
	Detail string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused by the peer (%s): %s", e.Code, e.Detail)
}

// LinkError is a failure of a connection or stream.
type LinkError struct {
	Op    string
	Cause error
}

func (e *LinkError) Error() string { return fmt.Sprintf("link %s: %v", e.Op, e.Cause) }

// Unwrap returns the cause.
func (e *LinkError) Unwrap() error { return e.Cause }

// FrameError reports input that violates the protocol. The connection is
// closed.
type FrameError struct {
	Detail string
	Cause  error
}

func (e *FrameError) Error() string {
	if e.Cause == nil {
		return "frame: " + e.Detail
	}
	return fmt.Sprintf("frame: %s: %v", e.Detail, e.Cause)
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Cause }

// TooLargeError reports a message above the size limit of its kind.
type TooLargeError struct{ Size, Limit int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes, limit %d", e.Size, e.Limit)
}

// EncodeError reports a message that can't be encoded as CBOR.
type EncodeError struct{ Cause error }

func (e *EncodeError) Error() string { return fmt.Sprintf("encode: %v", e.Cause) }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// DecodeError reports well-formed CBOR that doesn't match the kind's message
// type: the peer runs another version.
type DecodeError struct{ Cause error }

func (e *DecodeError) Error() string { return fmt.Sprintf("decode: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// UnknownKindError reports a call of a kind that the peer has no handler for.
type UnknownKindError struct{ Kind string }

func (e *UnknownKindError) Error() string { return fmt.Sprintf("no handler for %q", e.Kind) }

// OptionsError reports an invalid option of a node.
type OptionsError struct {
	Option string
	Detail string
}

func (e *OptionsError) Error() string { return fmt.Sprintf("option %s: %s", e.Option, e.Detail) }

// DuplicateHandlerError is the value of the panic when a second handler is
// registered for a kind, which is a programming error.
type DuplicateHandlerError struct{ Kind string }

func (e *DuplicateHandlerError) Error() string { return fmt.Sprintf("second handler for %q", e.Kind) }

// Codes for closing a connection. Their names appear in logs and dumps.
const (
	codeClosing quic.ApplicationErrorCode = iota + 1
	codeMalformed
	codeIdentity
	codeStaleBoot
	codeSuperseded
	codeRemoved
)

var codeNames = map[quic.ApplicationErrorCode]string{
	codeClosing:    "closing",
	codeMalformed:  "malformed",
	codeIdentity:   "identity",
	codeStaleBoot:  "stale_boot",
	codeSuperseded: "superseded",
	codeRemoved:    "removed",
}

// Codes for resetting a stream.
const (
	// streamRefused: the request was certainly not handled.
	streamRefused quic.StreamErrorCode = iota + 1
	// streamCanceled: the caller no longer waits.
	streamCanceled
)

// expiredError reports a request whose caller's time had passed before its body
// was decoded.
type expiredError struct {
	Kind   string
	Waited time.Duration
}

func (e *expiredError) Error() string {
	return fmt.Sprintf("%s not handled: its caller's time passed, %s after the stream was accepted", e.Kind, e.Waited)
}

// linkError converts an error of quic-go into an error type of this package.
func linkError(op string, err error) error {
	var app *quic.ApplicationError
	if errors.As(err, &app) && app.Remote {
		return &RefusedError{Code: codeNames[app.ErrorCode], Detail: app.ErrorMessage}
	}
	return &LinkError{Op: op, Cause: err}
}

// remoteErrorType returns the type name that the other end receives: that of
// the outermost error declared in this module, or else that of the innermost
// error. Wrappers that only add text or a stack trace are skipped, as peers
// decide by the type.
func remoteErrorType(err error) string {
	const module = "cyclamenwheel/"
	innermost := err
	for e := err; e != nil; e = errors.UnwrapOnce(e) {
		if strings.HasPrefix(concreteType(e).PkgPath(), module) {
			return concreteType(e).String()
		}
		innermost = e
	}
	return concreteType(innermost).String()
}

func concreteType(err error) reflect.Type {
	t := reflect.TypeOf(err)
	if t.Kind() == reflect.Pointer {
		return t.Elem()
	}
	return t
}

// truncateDetail cuts a text to maxDetail bytes and removes invalid UTF-8, such
// as a character cut in half, which CBOR would reject.
func truncateDetail(s string) string {
	if len(s) > maxDetail {
		s = s[:maxDetail]
	}
	if !utf8.ValidString(s) {
		s = strings.ToValidUTF8(s, "")
	}
	return s
}
