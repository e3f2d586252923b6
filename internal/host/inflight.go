package host

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"cyclamenwheel/internal/planlease"
)

// answerMargin is what an answer gets to leave before its connection closes.
const answerMargin = 300 * time.Millisecond

// inFlight bounds callers' requests of a node that stops. Load: nodes are stopped in turn
// while the pools' owners are overrun. A request that arrives as the node stops waits for
// its owner for longer than connections stay open, and its caller is cut off without a
// word on whether the job was accepted. Bounded, it is answered as any other that its
// owner did not answer in time.
type inFlight struct {
	// closes is when the connections close, on the clock that counts suspension; 0
	// while the node goes on.
	closes atomic.Int64
}

// closeAt sets when the connections close.
func (f *inFlight) closeAt(at time.Duration) { f.closes.Store(int64(at)) }

// bound lets next answer in time.
func (f *inFlight) bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		closes := time.Duration(f.closes.Load())
		if closes == 0 {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), closes-planlease.Boottime()-answerMargin)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
