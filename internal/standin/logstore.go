package standin

import (
	"context"
	"sync"
	"time"

	"cyclamenwheel/internal/platform"
)

// Limits of one page of the log.
const (
	maxPageRecords = 10_000
	maxPageBytes   = 4 << 20
)

// logStore is the append-only log. Records older than the retention are dropped
// on the next access.
type logStore struct {
	mu          sync.Mutex
	retention   time.Duration
	firstOffset uint64
	records     []platform.LogRecord
	lastTime    int64
	appended    chan struct{}
}

func newLogStore(retention time.Duration) *logStore {
	return &logStore{retention: retention, firstOffset: 1, appended: make(chan struct{})}
}

func (l *logStore) append(data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired()
	// The system clock can be set back; record times must not decrease.
	l.lastTime = max(l.lastTime, time.Now().UnixMilli())
	offset := l.head() + 1
	l.records = append(l.records, platform.LogRecord{Offset: offset, TimeMillis: l.lastTime, Data: data})
	close(l.appended)
	l.appended = make(chan struct{})
	return offset
}

// read returns the records from offset from on. If there are none, it waits for
// the first one until wait has elapsed or ctx ends.
func (l *logStore) read(ctx context.Context, from uint64, limit int, wait time.Duration) (platform.LogPage, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, appended, err := l.readPage(from, limit)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, nil
		}
	}
}

func (l *logStore) readPage(from uint64, limit int) (platform.LogPage, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired()
	if from < l.firstOffset {
		return platform.LogPage{}, nil, &platform.TrimmedError{From: from, First: l.firstOffset}
	}
	page := platform.LogPage{Records: []platform.LogRecord{}, First: l.firstOffset, Head: l.head()}
	if from > page.Head {
		return page, l.appended, nil
	}
	size := 0
	for _, r := range l.records[from-l.firstOffset:] {
		full := len(page.Records) >= min(limit, maxPageRecords) || size+len(r.Data) > maxPageBytes
		if full && len(page.Records) > 0 {
			break
		}
		page.Records = append(page.Records, r)
		size += len(r.Data)
	}
	return page, l.appended, nil
}

// trim drops the records before an offset.
func (l *logStore) trim(before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before = min(before, l.head()+1)
	if before > l.firstOffset {
		l.records = append([]platform.LogRecord(nil), l.records[before-l.firstOffset:]...)
		l.firstOffset = before
	}
}

func (l *logStore) setRetention(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retention = d
}

func (l *logStore) dropExpired() {
	oldest := time.Now().Add(-l.retention).UnixMilli()
	n := 0
	for n < len(l.records) && l.records[n].TimeMillis < oldest {
		n++
	}
	if n > 0 {
		l.records = l.records[n:]
		l.firstOffset += uint64(n)
	}
}

func (l *logStore) head() uint64 { return l.firstOffset + uint64(len(l.records)) - 1 }
