package host

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"cyclamenwheel/internal/planlease"
)

// answerMargin is the time reserved for sending an answer before its connection
// closes.
const answerMargin = 300 * time.Millisecond

// requestDeadline bounds callers' requests while a node shuts down. Load: nodes
// are restarted one after another while the owners of pools are overloaded. A
// request that arrives during the shutdown would wait for its pool's owner
// beyond the closing of its connection, and the caller would not learn whether
// the job was accepted. With the bound it is answered like any request whose
// owner did not answer in time.
type requestDeadline struct {
	// closesAt is when the connections close, on the clock that includes time
	// in suspend; 0 while the node is not shutting down.
	closesAt atomic.Int64
}

func (f *requestDeadline) setCloseTime(at time.Duration) { f.closesAt.Store(int64(at)) }

// wrap returns a handler that bounds next by the close time, if one is set,
// less answerMargin.
func (f *requestDeadline) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		closes := time.Duration(f.closesAt.Load())
		if closes == 0 {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), closes-planlease.Boottime()-answerMargin)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
