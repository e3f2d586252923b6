package shards

import (
	"context"
	"sync"
)

// largeSubmission is the size from which jobs are sent to other owners one at a time, in bytes. Load:
// callers at all nodes submit jobs of the largest size to one pool, whose owner has to hold what all of
// them send it at the same time.
const largeSubmission = 16 << 10

// resultLargeWaited answers a large submission that was not sent in its caller's time. An earlier attempt
// may have been accepted.
var resultLargeWaited = Result{Outcome: OutcomeUnknown, Reason: "waited for other large jobs"}

// turns lets one caller through at a time. The zero value is ready.
type turns struct {
	once sync.Once
	free chan struct{}
}

func (t *turns) init() {
	t.once.Do(func() { t.free = make(chan struct{}, 1) })
}

// begin waits for the caller's turn. It returns false if ctx ends before.
func (t *turns) begin(ctx context.Context) bool {
	t.init()
	select {
	case t.free <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// end ends the caller's turn.
func (t *turns) end() { <-t.free }
