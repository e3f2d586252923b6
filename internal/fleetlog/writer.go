package fleetlog

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/platform"
)

// Retry timing of appends. A lost answer is followed by the same record again:
// its id makes the repetition harmless, and waiting longer than a second would
// show in the roll-out time.
const (
	appendRetryMin = 20 * time.Millisecond
	appendRetryMax = time.Second
)

// AppendUntil appends rec until the log has it for certain or ctx ends. Every
// try carries the same record id, so the fold takes the first and passes over
// the others. uncertain tells, with an error, whether some try may have
// reached the log.
func AppendUntil(ctx context.Context, log platform.Log, rec Record) (uncertain bool, err error) {
	data, err := rec.Encode()
	if err != nil {
		return false, err
	}
	pause := appendRetryMin
	for {
		_, err = log.Append(ctx, data)
		if err == nil {
			return false, nil
		}
		var unknown *platform.OutcomeUnknownError
		uncertain = uncertain || errors.As(err, &unknown)
		var rejected *platform.RejectedError
		if errors.As(err, &rejected) {
			return uncertain, err
		}
		if !sleepJittered(ctx, pause) {
			return uncertain, errors.Wrapf(err, "append %s", rec.Kind)
		}
		pause = min(2*pause, appendRetryMax)
	}
}

// sleepJittered waits up to d (full jitter, so that processes that lost the
// log together do not come back together); false when ctx ended first.
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
