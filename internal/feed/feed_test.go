package feed

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/platform"
)

// stalledStore never answers a read; it records how long each one would have waited.
type stalledStore struct{ waits chan time.Duration }

func (stalledStore) Newest(context.Context, string) (platform.Page, error) {
	return platform.Page{Next: 7}, nil
}

func (s stalledStore) Read(ctx context.Context, _ string, _ int64, wait time.Duration) (platform.Page, error) {
	s.waits <- wait
	<-ctx.Done()
	return platform.Page{}, ctx.Err()
}

// Guards against a node that keeps an old configuration for as long as a long read waits on a
// connection that has stalled without a reset.
func TestALongReadEndsOnceTheTopicIsNotWatched(t *testing.T) {
	g := NewWithT(t)
	store := stalledStore{waits: make(chan time.Duration, 4)}
	var watched atomic.Bool
	watched.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var answers atomic.Int64
	go Follow(ctx, store, Topic{Name: "t", Handle: func(bool, []platform.Record) {}, Watched: watched.Load, OnAnswer: func() { answers.Add(1) }}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	g.Eventually(store.waits).Should(Receive(Equal(longPollWait)))
	g.Consistently(store.waits, 2*watchInterval).ShouldNot(Receive())
	watched.Store(false)
	g.Eventually(store.waits, 3*watchInterval).Should(Receive(Equal(pollWait)))
	g.Expect(answers.Load()).To(Equal(int64(1)), "an abandoned read is no answer of the store")
}
