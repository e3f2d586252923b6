package ctl

import (
	"context"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/certs"
	"cyclamenwheel/internal/platform"
)

// Exit codes. They are stable, because build pipelines depend on them.
const (
	ExitOK                  = 0
	ExitFailure             = 1
	ExitUsage               = 2
	ExitInvalidInput        = 3
	ExitConflict            = 4
	ExitPlatformUnavailable = 5
	ExitTimeout             = 6
)

// ExitCode returns the exit code for a command's error.
func ExitCode(err error) int {
	var (
		usage       *UsageError
		malformed   *certs.MalformedIDError
		invalid     *InvalidInputError
		conflict    *ConflictError
		unavailable *platform.UnavailableError
		unknown     *platform.OutcomeUnknownError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage), errors.As(err, &malformed):
		return ExitUsage
	case errors.As(err, &invalid):
		return ExitInvalidInput
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unavailable):
		return ExitPlatformUnavailable
	case errors.As(err, &unknown), errors.Is(err, context.DeadlineExceeded):
		return ExitTimeout
	}
	return ExitFailure
}
