package fleetlog_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/platform"
)

// emptyLog is a log without records: every read waits for its full wait time.
type emptyLog struct{ platform.Log }

func (emptyLog) Read(ctx context.Context, from uint64, _ int, wait time.Duration) (platform.LogPage, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return platform.LogPage{First: 1, Head: 0}, ctx.Err()
}

// A process starts on an empty log and can join only when it has received the
// head. If its first read waited for a record, a new deployment would be delayed
// by a full long poll.
func TestTailReportsHeadOfEmptyLogWithoutWaiting(t *testing.T) {
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

// trimmedLog has trimmed all of its records; the next record arrives only after
// a read has returned an empty page.
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

// A process resumes after its next records have been trimmed, while the log
// holds no records at all. The gap must be reported with the next record;
// otherwise the process waits forever for the records before that one.
func TestTailReportsTrimmedRecordsWithNextRecord(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	fleetlog.NewTail(&trimmedLog{}).Run(ctx, func(p fleetlog.Page) {
		if len(p.Records) == 0 {
			return
		}
		if !p.Trimmed {
			t.Error("the page with the first record after the gap is not marked as trimmed")
		}
		cancel()
	})
}
