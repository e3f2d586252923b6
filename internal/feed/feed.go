// Package feed follows a keyed topic of the platform's store and passes on the newest
// record of each key as it changes. Its input is the pages that the store's client reads;
// after a gap in the history it reads the newest records again. internal/host runs it for
// the endpoints' and the operators' topics.
package feed

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/pause"
	"cyclamenwheel/platform"
)

const (
	// pollWait is how long a read waits for a record. A connection that has stalled
	// without a reset is detected after this plus the client's slack; together they stay
	// below the time in which a configuration must take effect.
	pollWait = 900 * time.Millisecond
	// longPollWait is how long a read waits while Topic.Watched reports true, and
	// watchInterval how often that is checked meanwhile.
	longPollWait  = 20 * time.Second
	watchInterval = 400 * time.Millisecond
	// retryMin and retryMax bound the delay between attempts while the store does not
	// answer.
	retryMin = 100 * time.Millisecond
	retryMax = 500 * time.Millisecond
)

// Handler receives records. If reset is true, records are the whole state; otherwise they
// follow the previous ones. It is called by one goroutine.
type Handler func(reset bool, records []platform.Record)

// Topic is a topic to follow.
type Topic struct {
	Name string
	// Gap is the pause between two reads: a topic that changes all the time would
	// otherwise cost a call for each record.
	Gap    time.Duration
	Handle Handler
	// Watched, if set, reports whether something else would show that a read has missed a
	// record because its connection has stalled. Reads then wait for longer; one that is
	// waiting is abandoned as soon as Watched no longer reports true.
	Watched func() bool
	// OnAnswer, if set, is called after each answer of the store, once its records have been
	// handled.
	OnAnswer func()
}

// Store is the part of the platform's client that a feed uses.
type Store interface {
	Newest(ctx context.Context, topic string) (platform.Page, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Page, error)
}

// Follow reads a topic until ctx ends. If the store no longer has the next records, it
// reads the newest record of each key again, so that a feed never stays behind.
func Follow(ctx context.Context, store Store, topic Topic, log *slog.Logger) {
	f := follower{store: store, topic: topic.Name, log: log, handle: topic.Handle, watched: topic.Watched, next: -1}
	retry := retryMin
	for ctx.Err() == nil {
		err := f.step(ctx)
		if errors.HasType(err, (*abandonedError)(nil)) {
			continue
		}
		if err == nil {
			f.markUp()
			retry = retryMin
			if topic.OnAnswer != nil && f.next >= 0 {
				topic.OnAnswer()
			}
			pause.For(ctx, topic.Gap)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.markDown(err)
		pause.For(ctx, retry)
		retry = min(2*retry, retryMax)
	}
}

// historyLimit bounds the records that History reads.
const historyLimit = 20000

// History returns the records of a topic that the store still has, oldest first and as
// written, including those superseded by a newer record of their key.
func History(ctx context.Context, store Store, topic string) ([]platform.Record, error) {
	var all []platform.Record
	from := int64(0)
	for len(all) < historyLimit {
		page, err := store.Read(ctx, topic, from, 0)
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) && trimmed.Earliest > from {
			from = trimmed.Earliest
			continue
		}
		if err != nil {
			return all, err
		}
		if len(page.Records) == 0 {
			return all, nil
		}
		all = append(all, page.Records...)
		from = page.Next
	}
	return all, nil
}

type follower struct {
	store  Store
	topic  string
	log    *slog.Logger
	handle Handler
	// watched is Topic.Watched.
	watched func() bool
	next    int64
	down    bool
}

func (f *follower) step(ctx context.Context) error {
	if f.next < 0 {
		page, err := f.store.Newest(ctx, f.topic)
		if err != nil {
			return err
		}
		f.next = page.Next
		f.handle(true, page.Records)
		return nil
	}
	page, err := f.read(ctx)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		f.next = -1
		return nil
	}
	if err != nil {
		return err
	}
	f.next = page.Next
	if len(page.Records) > 0 {
		f.handle(false, page.Records)
	}
	return nil
}

// abandonedError reports that a read was abandoned because the topic is no longer watched.
type abandonedError struct{ topic string }

func (e *abandonedError) Error() string { return e.topic + ": read abandoned" }

// read waits for records, for long only while the topic is watched. It returns an abandonedError once
// the topic no longer is: the store has not answered, so that nothing is confirmed.
func (f *follower) read(ctx context.Context) (platform.Page, error) {
	if f.watched == nil || !f.watched() {
		return f.store.Read(ctx, f.topic, f.next, pollWait)
	}
	reading, abandon := context.WithCancel(ctx)
	defer abandon()
	go f.abandonUnwatched(reading, abandon)
	page, err := f.store.Read(reading, f.topic, f.next, longPollWait)
	if err != nil && reading.Err() != nil && ctx.Err() == nil {
		return platform.Page{}, &abandonedError{f.topic}
	}
	return page, err
}

// abandonUnwatched abandons a read once the topic is no longer watched.
func (f *follower) abandonUnwatched(reading context.Context, abandon context.CancelFunc) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-reading.Done():
			return
		case <-tick.C:
			if !f.watched() {
				f.log.Info("read abandoned", "topic", f.topic, "reason", "nothing else shows whether it has stalled")
				abandon()
				return
			}
		}
	}
}

func (f *follower) markDown(err error) {
	if !f.down {
		f.log.Warn("dependency lost", "dependency", "store", "topic", f.topic, "error", err.Error())
	}
	f.down = true
}

func (f *follower) markUp() {
	if f.down {
		f.log.Info("dependency regained", "dependency", "store", "topic", f.topic)
	}
	f.down = false
}
