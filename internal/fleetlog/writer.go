package fleetlog

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/platform"
)

// Backoff between appends of a record. After a lost response the same record is
// appended again, which is harmless because of its id. Delays above one second
// would noticeably lengthen rollouts.
const (
	minAppendRetryDelay = 20 * time.Millisecond
	maxAppendRetryDelay = time.Second
)

// AppendWithRetry retries the append of rec until it is confirmed or rejected, or
// ctx ends. Every attempt carries the same record id, so the fold applies the
// first and skips the others. If err is not nil, uncertain reports whether some
// attempt may have reached the log.
func AppendWithRetry(ctx context.Context, log platform.Log, rec Record) (uncertain bool, err error) {
	data, err := rec.Encode()
	if err != nil {
		return false, err
	}
	retryDelay := minAppendRetryDelay
	for {
		_, err = log.Append(ctx, data)
		if err == nil {
			return false, nil
		}
		var unknown *platform.OutcomeUnknownError
		uncertain = uncertain || errors.As(err, &unknown)
		// A platform that is unavailable rejects the call as well, but only for now.
		var unavailable *platform.UnavailableError
		var rejected *platform.RejectedError
		if !errors.As(err, &unavailable) && errors.As(err, &rejected) {
			return uncertain, err
		}
		if !sleepJittered(ctx, retryDelay) {
			return uncertain, errors.Wrapf(err, "append %s", rec.Kind)
		}
		retryDelay = min(2*retryDelay, maxAppendRetryDelay)
	}
}

// sleepJittered waits for a random time up to d; it returns false if ctx ended
// first. Full jitter keeps processes that lost the log at the same time from
// retrying at the same time.
func sleepJittered(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(rand.N(d) + time.Millisecond)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
