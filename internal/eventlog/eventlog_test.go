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

// stalledOutput blocks every write until released, like standard output whose reader
// has stalled.
type stalledOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *stalledOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// Guards against requests that block on logging while the reader of standard
// output stalls: each write returns at once, and lines beyond the buffer are
// dropped.
func TestStalledOutputDoesNotBlockWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		out := &stalledOutput{release: make(chan struct{})}
		w := eventlog.NewWriter(out)
		start := time.Now()
		for range 20000 {
			_, err := w.Write([]byte("line\n"))
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(time.Since(start)).To(BeZero()) // in a synctest bubble, time advances only while all goroutines are blocked
		close(out.release)
		w.Close(time.Second)
		g.Expect(strings.Count(out.written.String(), "line")).To(And(BeNumerically(">", 1000), BeNumerically("<", 10000)))
		_, err := w.Write([]byte("after the end\n"))
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// Guards against a message logged thousands of times per second flooding the log:
// its lines are limited, other messages and warnings are not, and the next line
// that is written reports how many were omitted.
func TestMessageRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var output bytes.Buffer
		log := slog.New(eventlog.NewHandler(slog.NewJSONHandler(&output, nil)))
		for range 5000 {
			log.Info("request answered")
		}
		log.Info("job ended")
		log.Warn("request answered")
		g.Expect(strings.Count(output.String(), "request answered")).To(Equal(1201))
		g.Expect(output.String()).To(ContainSubstring("job ended"))
		g.Expect(output.String()).To(ContainSubstring(`"left_out":3800`))
		time.Sleep(time.Second)
		output.Reset()
		for range 5000 {
			log.With("node", "a").Info("request answered")
		}
		g.Expect(strings.Count(output.String(), "request answered")).To(Equal(400))
	})
}

var _ io.Writer = (*eventlog.Writer)(nil)
