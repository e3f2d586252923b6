package fleetlog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/platform"
)

// Limits of reads of the log.
const (
	maxReadRecords = 512
	longPollWait   = 5 * time.Second
	// maxReadRetryDelay bounds the delay after a failed read, and thereby how
	// late a process notices that the log is available again.
	maxReadRetryDelay = 500 * time.Millisecond
)

// Page is the result of one read, which the tail delivers to the control loop.
type Page struct {
	Records []platform.LogRecord
	// Head is the newest offset in the log at the time of the read.
	Head uint64
	// Trimmed is set if the records to read next have been trimmed; Records then
	// start at the oldest record kept.
	Trimmed bool
	// Err is set if the read failed.
	Err error
}

// Tail reads new records of the log for one process. It has one long poll in
// flight at a time, so that a process costs the log service one open request.
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

// Advance makes the tail skip the records before next, which the process has
// received from a peer or as part of a snapshot.
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
	retryDelay := minAppendRetryDelay
	trimmed := false
	// The first read does not wait: on an empty log, a starting process would
	// otherwise find out only after longPollWait that there are no records.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		from := t.next.Load()
		page, err := t.log.Read(ctx, from, maxReadRecords, wait)
		var trimmedErr *platform.TrimmedError
		switch {
		case errors.As(err, &trimmedErr):
			trimmed = true
			t.Advance(trimmedErr.First)
			continue
		case err != nil:
			deliver(Page{Err: err})
			sleepJittered(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxReadRetryDelay)
			continue
		}
		retryDelay, wait = minAppendRetryDelay, longPollWait
		if n := len(page.Records); n > 0 {
			t.Advance(page.Records[n-1].Offset + 1)
		}
		deliver(Page{Records: page.Records, Head: page.Head, Trimmed: trimmed})
		// Trimmed stays set until it is delivered with the first records after
		// the gap.
		trimmed = trimmed && len(page.Records) == 0
	}
}
