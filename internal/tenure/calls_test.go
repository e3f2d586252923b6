package tenure

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/attempts"
	"cyclamenwheel/platform"
)

// limitedStore takes numbered calls of up to callLimit bytes, in the order of their numbers.
type limitedStore struct {
	Journal
	mu   sync.Mutex
	next int64
	keys []string
}

const callLimit = 2 << 20

func (s *limitedStore) Append(_ context.Context, _ string, _ int64, w platform.Writer, records []platform.Record) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	if size > callLimit {
		return 0, &platform.NotDoneError{Call: "append", Status: http.StatusRequestEntityTooLarge}
	}
	if w.Seq != s.next {
		return 0, &platform.NotDoneError{Call: "append", Status: http.StatusConflict, Reason: platform.ReasonOutOfOrder}
	}
	s.next++
	for _, r := range records {
		s.keys = append(s.keys, r.Key)
	}
	return 0, nil
}

// Guards against a batch larger than the store takes in one call, which its owner would repeat for ever,
// and against batches behind it that are stored before its end.
func TestABatchLargerThanACallIsStoredInOrder(t *testing.T) {
	g := NewWithT(t)
	store := &limitedStore{}
	held := &Tenure{store: Store{Journal: store, Attempts: attempts.NewPolicy()}, topic: "t", log: slog.New(slog.DiscardHandler)}
	var want []string
	var wg sync.WaitGroup
	for batch := range 3 {
		var records []platform.Record
		for i := range 20 {
			records = append(records, platform.Record{Key: fmt.Sprintf("%d-%d", batch, i), Value: []byte(strings.Repeat("v", 180<<10))})
			want = append(want, records[i].Key)
		}
		numbered := held.Number(records)
		wg.Go(func() {
			if err := held.AppendNumbered(t.Context(), numbered); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	g.Expect(store.keys).To(Equal(want))
}
