package eventlog_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/eventlog"
)

// stalled is a reader of standard output that takes nothing until released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// Requests log while whoever reads standard output has stalled. Each log call
// returns at once; what finds the buffer full is left out.
func TestStalledReaderHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		out := &stalled{release: make(chan struct{})}
		w := eventlog.NewWriter(out)
		began := time.Now()
		for range 20000 {
			_, err := w.Write([]byte("line\n"))
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(time.Since(began)).To(BeZero()) // the bubble's clock moves only when all wait
		close(out.release)
		w.Close(time.Second)
		g.Expect(strings.Count(out.got.String(), "line")).To(And(BeNumerically(">", 1000), BeNumerically("<", 10000)))
		_, err := w.Write([]byte("after the end\n"))
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// One kind of line comes thousands of times a second. Its volume stays bounded,
// other kinds and warnings are not affected, and the next line tells how many
// were left out.
func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var got bytes.Buffer
		log := slog.New(eventlog.NewHandler(slog.NewJSONHandler(&got, nil)))
		for range 5000 {
			log.Info("request answered")
		}
		log.Info("job ended")
		log.Warn("request answered")
		g.Expect(strings.Count(got.String(), "request answered")).To(Equal(1201))
		g.Expect(got.String()).To(ContainSubstring("job ended"))
		g.Expect(got.String()).To(ContainSubstring(`"left_out":3800`))
		time.Sleep(time.Second)
		got.Reset()
		for range 5000 {
			log.With("node", "a").Info("request answered")
		}
		g.Expect(strings.Count(got.String(), "request answered")).To(Equal(400))
	})
}

var _ io.Writer = (*eventlog.Writer)(nil)
