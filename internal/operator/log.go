// Package operator provides the logger, the error attributes and the HTTP server
// through which operators and their tools inspect a process. The server answers
// GET requests for metrics, liveness, readiness, status and state dumps, and writes
// a dump to the log on SIGUSR1. Each daemon starts it with a Process and registers
// its readiness function and dump sections.
package operator

import (
	"io"
	"log/slog"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
)

// Names of log attributes. All processes use the same names, so that one query
// finds all records of a move, a request or a manifest.
const (
	AttrProcess    = "process"
	AttrDeployment = "deployment"
	AttrZone       = "zone"
	AttrInstance   = "instance"
	AttrPool       = "pool"
	AttrService    = "service"
	AttrJob        = "job"
	AttrGeneration = "generation"
	AttrEpoch      = "epoch"
	AttrOffset     = "offset"
	AttrOperation  = "operation"
	AttrRequestID  = "request_id"
	AttrPeer       = "peer"
	AttrReason     = "reason"
	AttrDuration   = "duration_ms"
	AttrError      = "error"
	AttrErrorType  = "error_type"
	AttrSection    = "section"
	AttrState      = "state"
)

// modulePrefix is the prefix of all package paths of this module.
const modulePrefix = "cyclamenwheel/"

// Process identifies a process in its log records and its status.
type Process struct {
	ID         string `json:"id"`
	Deployment string `json:"deployment"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
}

// NewLogger returns a logger that writes JSON lines to w, each with the process
// ID, deployment and zone.
func NewLogger(w io.Writer, level slog.Leveler, p Process) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With(
		slog.String(AttrProcess, p.ID),
		slog.String(AttrDeployment, p.Deployment),
		slog.String(AttrZone, p.Zone),
	)
}

// Err returns the log attributes of an error: its text and its type, which logs
// can be filtered by.
func Err(err error) slog.Attr {
	if err == nil {
		return slog.Attr{}
	}
	return slog.GroupAttrs("", slog.String(AttrError, err.Error()), slog.String(AttrErrorType, ErrorType(err)))
}

// ErrorType returns the name of the outermost error type of this module in err's
// chain, or of the innermost error's type if there is none. Wrappers that only add
// context do not identify the failure and are skipped.
func ErrorType(err error) string {
	for e := err; e != nil; e = errors.UnwrapOnce(e) {
		if name, inModule := typeName(e); inModule {
			return name
		}
	}
	name, _ := typeName(errors.UnwrapAll(err))
	return name
}

func typeName(err error) (name string, inModule bool) {
	t := reflect.TypeOf(err)
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return t.String(), strings.HasPrefix(t.PkgPath(), modulePrefix)
}
