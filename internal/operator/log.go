// Package operator is what people and their tools see of a process: JSON-lines
// logs, metrics, health, and a dump of its state on request.
package operator

import (
	"io"
	"log/slog"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
)

// Names of log attributes. They are the same in every process, so that one
// query finds all records of a move, a request or a manifest.
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

// modulePrefix begins the package path of every type of this module.
const modulePrefix = "cyclamenwheel/"

// Process names a process in each of its log records.
type Process struct {
	ID         string `json:"id"`
	Deployment string `json:"deployment"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
}

// NewLogger writes JSON lines to w, each with the process's name.
func NewLogger(w io.Writer, level slog.Leveler, p Process) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With(
		slog.String(AttrProcess, p.ID),
		slog.String(AttrDeployment, p.Deployment),
		slog.String(AttrZone, p.Zone),
	)
}

// Err returns an error's attributes: its text, and the type to filter by.
func Err(err error) slog.Attr {
	if err == nil {
		return slog.Attr{}
	}
	return slog.GroupAttrs("", slog.String(AttrError, err.Error()), slog.String(AttrErrorType, ErrorType(err)))
}

// ErrorType names the outermost type of this module in err's chain, or the
// innermost error's type where there is none. Wrappers that only add context
// say nothing about the failure and are passed over.
func ErrorType(err error) string {
	for e := err; e != nil; e = errors.UnwrapOnce(e) {
		if name, ours := typeName(e); ours {
			return name
		}
	}
	name, _ := typeName(errors.UnwrapAll(err))
	return name
}

func typeName(err error) (name string, ours bool) {
	t := reflect.TypeOf(err)
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return t.String(), strings.HasPrefix(t.PkgPath(), modulePrefix)
}
