// Package eventlog writes a process's log as JSON lines without ever holding
// the process up: lines go through a bounded buffer, each message has a rate,
// and what is left out is counted.
package eventlog

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
)

const (
	// bufferLines wait for a reader of standard output that stalls.
	bufferLines = 4096
	// flushEvery gathers lines into one write: each write is a system call.
	flushEvery = 40 * time.Millisecond
	// ratePerMessage and burstPerMessage bound each kind of line.
	ratePerMessage  = 400
	burstPerMessage = 1200
	// writeBytes bounds one write.
	writeBytes = 64 << 10
)

// Writer passes lines on to another writer in the background.
type Writer struct {
	lines chan []byte
	// stop ends the background goroutine; lines stays open, as others may
	// still write while the process ends.
	stop chan struct{}
	done chan struct{}
	once sync.Once
	lost *metrics.Counter
}

// NewWriter starts the background goroutine that writes to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferLines), stop: make(chan struct{}), done: make(chan struct{}),
		lost: metrics.GetOrCreateCounter(`cyclamen_log_lines_left_out_total{why="buffer full"}`)}
	go w.loop(out)
	return w
}

// Write takes one line. It never blocks; a line that finds the buffer full is
// counted and left out.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.lost.Inc()
	}
	return len(line), nil
}

func (w *Writer) loop(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			time.Sleep(flushEvery)
			w.write(out, line)
		case <-w.stop:
			w.write(out, nil)
			return
		}
	}
}

// write writes a line and those that wait behind it.
func (w *Writer) write(out io.Writer, line []byte) {
	batch := append([]byte(nil), line...)
	for {
		select {
		case next := <-w.lines:
			batch = append(batch, next...)
			if len(batch) >= writeBytes {
				_, _ = out.Write(batch) // nowhere is left to report it
				batch = batch[:0]
			}
		default:
			_, _ = out.Write(batch)
			return
		}
	}
}

// Close writes what is buffered, waiting at most limit. Later lines are lost.
func (w *Writer) Close(limit time.Duration) {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

// Handler limits the rate of each message of another handler.
type Handler struct {
	slog.Handler
	shared *limits
}

type limits struct {
	mu      sync.Mutex
	byText  map[string]*limited
	dropped *metrics.Counter
}

type limited struct {
	limiter *rate.Limiter
	left    int64
}

// NewHandler wraps a handler.
func NewHandler(h slog.Handler) *Handler {
	return &Handler{Handler: h, shared: &limits{byText: map[string]*limited{},
		dropped: metrics.GetOrCreateCounter(`cyclamen_log_lines_left_out_total{why="rate"}`)}}
}

// Handle writes the record unless its message is over its rate. The first one
// written after that says how many were left out.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	left, ok := h.shared.admit(r)
	if !ok {
		return nil
	}
	if left > 0 {
		r.AddAttrs(slog.Int64("left_out", left))
	}
	return h.Handler.Handle(ctx, r)
}

func (l *limits) admit(r slog.Record) (left int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.byText[r.Message]
	if m == nil {
		m = &limited{limiter: rate.NewLimiter(ratePerMessage, burstPerMessage)}
		l.byText[r.Message] = m
	}
	if r.Level < slog.LevelWarn && !m.limiter.AllowN(r.Time, 1) {
		m.left++
		l.dropped.Inc()
		return 0, false
	}
	left, m.left = m.left, 0
	return left, true
}

// WithAttrs keeps the limits shared among derived loggers.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), shared: h.shared}
}

// WithGroup keeps the limits shared among derived loggers.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), shared: h.shared}
}
