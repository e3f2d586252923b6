package fleetlog_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/platform"
)

// emptyLog keeps reads waiting for as long as they ask, as a log without new
// records does.
type emptyLog struct{ platform.Log }

func (emptyLog) Read(ctx context.Context, from uint64, _ int, wait time.Duration) (platform.LogPage, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return platform.LogPage{First: 1, Head: 0}, ctx.Err()
}

// A process starts on a log that holds nothing yet. It may join once it knows
// the head; were its first read to wait for a record, it would learn that the
// log is empty only at the end of the wait, and a new deployment would stand
// still for so long.
func TestTailTellsTheHeadOfAnEmptyLogAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		began := time.Now()
		first := make(chan time.Duration, 1)
		go fleetlog.NewTail(emptyLog{}).Run(ctx, func(fleetlog.Page) {
			select {
			case first <- time.Since(began):
			default:
			}
		})
		if took := <-first; took != 0 {
			t.Fatalf("first page after %v", took)
		}
	})
}

// trimmedLog has trimmed everything that it held; the next record comes only
// after a read has waited in vain.
type trimmedLog struct {
	platform.Log
	reads int
}

func (l *trimmedLog) Read(_ context.Context, from uint64, _ int, _ time.Duration) (platform.LogPage, error) {
	const first = 5
	l.reads++
	switch {
	case from < first:
		return platform.LogPage{}, &platform.TrimmedError{From: from, First: first}
	case l.reads <= 2:
		return platform.LogPage{First: first, Head: first - 1}, nil
	}
	return platform.LogPage{Records: []platform.LogRecord{{Offset: first}}, First: first, Head: first}, nil
}

// A process wakes after its records have been trimmed, at a moment when the
// log holds none at all. It must still learn that there is a gap when the next
// record comes; otherwise it waits for ever for the records before that one.
func TestTailTellsOfTrimmedRecordsWithTheNextOne(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	fleetlog.NewTail(&trimmedLog{}).Run(ctx, func(p fleetlog.Page) {
		if len(p.Records) == 0 {
			return
		}
		if !p.Trimmed {
			t.Error("the first record after the gap does not tell of it")
		}
		cancel()
	})
}
