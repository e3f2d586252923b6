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

// UnreachableError says that the message was certainly not handled: it was
// never sent in full, or the peer said that it did not take it.
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

// OutcomeUnknownError says that the message was sent and its answer was lost:
// it may have been handled.
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
	// Detail is for people.
	Detail string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s: remote %s: %s", e.Kind, e.Type, e.Detail)
}

// UnknownPeerError names an id that is not among the wanted peers.
type UnknownPeerError struct{ ID string }

func (e *UnknownPeerError) Error() string { return fmt.Sprintf("no peer %q", e.ID) }

// ClosedError says that this node is closed, closing or not started.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "node is not running" }

// BackoffError says that the last dial failed a moment ago and the next one is
// not due yet.
type BackoffError struct {
	Wait  time.Duration
	Cause error
}

func (e *BackoffError) Error() string {
	return fmt.Sprintf("dial failed, next one in %s: %v", e.Wait, e.Cause)
}

// Unwrap returns the failure of the last dial.
func (e *BackoffError) Unwrap() error { return e.Cause }

// CertificateError says why a certificate was turned away.
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

// IdentityError says that a peer is not who it should be: its hello differs
// from its certificate, or another process answers at the address.
type IdentityError struct{ Want, Got string }

func (e *IdentityError) Error() string {
	return fmt.Sprintf("peer should be %s and is %s", e.Want, e.Got)
}

// StaleBootError says that a newer boot of the same id is known.
type StaleBootError struct{ ID, BootID, Current string }

func (e *StaleBootError) Error() string {
	return fmt.Sprintf("boot %s of %s is older than %s", e.BootID, e.ID, e.Current)
}

// RefusedError says that the peer closed the connection, and why.
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

// FrameError is input that breaks the protocol. The connection is closed.
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

// TooLargeError is a message above the limit of its kind.
type TooLargeError struct{ Size, Limit int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes, limit %d", e.Size, e.Limit)
}

// EncodeError is a message that CBOR can't express.
type EncodeError struct{ Cause error }

func (e *EncodeError) Error() string { return fmt.Sprintf("encode: %v", e.Cause) }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// DecodeError is well-formed CBOR of another shape than the kind's message:
// the peer runs another version.
type DecodeError struct{ Cause error }

func (e *DecodeError) Error() string { return fmt.Sprintf("decode: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// UnknownKindError is a call of a kind that the peer has no handler for.
type UnknownKindError struct{ Kind string }

func (e *UnknownKindError) Error() string { return fmt.Sprintf("no handler for %q", e.Kind) }

// OptionsError says which option of a node is wrong.
type OptionsError struct {
	Option string
	Detail string
}

func (e *OptionsError) Error() string { return fmt.Sprintf("option %s: %s", e.Option, e.Detail) }

// DuplicateHandlerError is the value of the panic on a second handler for one
// kind, which is a mistake in the program.
type DuplicateHandlerError struct{ Kind string }

func (e *DuplicateHandlerError) Error() string { return fmt.Sprintf("second handler for %q", e.Kind) }

// Codes with which a connection is closed. The texts appear in logs and dumps.
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

// Codes with which one stream is ended.
const (
	// streamRefused: the request was not handled, certainly.
	streamRefused quic.StreamErrorCode = iota + 1
	// streamCanceled: the caller no longer waits.
	streamCanceled
)

// linkError turns a failure of quic-go into one of this package.
func linkError(op string, err error) error {
	var app *quic.ApplicationError
	if errors.As(err, &app) && app.Remote {
		return &RefusedError{Code: codeNames[app.ErrorCode], Detail: app.ErrorMessage}
	}
	return &LinkError{Op: op, Cause: err}
}

// remoteType names the error for the other end: the outermost type of this
// program, or else the innermost one. Wrappers that only add text or a stack
// are of no use to a peer that decides by type.
func remoteType(err error) string {
	const module = "cyclamenwheel/"
	last := err
	for e := err; e != nil; e = errors.UnwrapOnce(e) {
		if strings.HasPrefix(elem(e).PkgPath(), module) {
			return elem(e).String()
		}
		last = e
	}
	return elem(last).String()
}

func elem(err error) reflect.Type {
	t := reflect.TypeOf(err)
	if t.Kind() == reflect.Pointer {
		return t.Elem()
	}
	return t
}

// clip bounds a text to maxDetail bytes without leaving half a character,
// which CBOR would refuse.
func clip(s string) string {
	if len(s) > maxDetail {
		s = s[:maxDetail]
	}
	if !utf8.ValidString(s) {
		s = strings.ToValidUTF8(s, "")
	}
	return s
}
