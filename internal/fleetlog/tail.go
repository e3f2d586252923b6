package fleetlog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/platform"
)

// Limits of a read of the log.
const (
	readMax  = 512
	readWait = 5 * time.Second
	// readRetryMax bounds the pause after a failed read: it is the time by
	// which a process may notice late that the log is back.
	readRetryMax = 500 * time.Millisecond
)

// Page is what the tail hands to the control loop.
type Page struct {
	Records []platform.LogRecord
	// Head is the newest offset in the log when it was read.
	Head uint64
	// Trimmed is set where the records wanted are no longer kept; Records then
	// start at the oldest kept.
	Trimmed bool
	// Err is set where the read failed.
	Err error
}

// Tail follows the log for one process: one long poll at a time, so that a
// process costs the log service one open request.
type Tail struct {
	log  platform.Log
	next atomic.Uint64
}

// NewTail returns a tail that starts at the oldest record kept.
func NewTail(log platform.Log) *Tail {
	t := &Tail{log: log}
	t.next.Store(1)
	return t
}

// Advance tells the tail that records before next are known already, by way of
// a peer or a snapshot.
func (t *Tail) Advance(next uint64) {
	for {
		cur := t.next.Load()
		if next <= cur || t.next.CompareAndSwap(cur, next) {
			return
		}
	}
}

// Run delivers pages until ctx ends.
func (t *Tail) Run(ctx context.Context, deliver func(Page)) {
	pause := appendRetryMin
	trimmed := false
	// The first read does not wait: on an empty log it would be readWait before
	// a starting process knows that there is nothing to fold.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		from := t.next.Load()
		page, err := t.log.Read(ctx, from, readMax, wait)
		var gone *platform.TrimmedError
		switch {
		case errors.As(err, &gone):
			trimmed = true
			t.Advance(gone.First)
			continue
		case err != nil:
			deliver(Page{Err: err})
			sleepJittered(ctx, pause)
			pause = min(2*pause, readRetryMax)
			continue
		}
		pause, wait = appendRetryMin, readWait
		if n := len(page.Records); n > 0 {
			t.Advance(page.Records[n-1].Offset + 1)
		}
		deliver(Page{Records: page.Records, Head: page.Head, Trimmed: trimmed})
		// A page without records does not show the gap yet.
		trimmed = trimmed && len(page.Records) == 0
	}
}
