// Package eventlog writes the log of a process without blocking it. Lines pass
// through a bounded buffer to a background writer, records below warning level
// are rate-limited per message, and dropped lines are counted. cyclamen-node
// wraps its JSON handler and standard output with it.
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
	// bufferLines is the number of lines buffered while the reader of standard
	// output stalls.
	bufferLines = 4096
	// flushDelay is how long lines are collected into one write, since each
	// write is a system call.
	flushDelay = 40 * time.Millisecond
	// ratePerMessage, in lines per second, and burstPerMessage limit the lines
	// with the same message.
	ratePerMessage  = 400
	burstPerMessage = 1200
	// maxWriteBytes is the batch size from which a batch is written at once.
	maxWriteBytes = 64 << 10
)

// Writer buffers lines and writes them to another writer in the background.
type Writer struct {
	lines chan []byte
	// stop ends the background goroutine. lines is never closed, because other
	// goroutines may still write while the process shuts down.
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
	dropped *metrics.Counter
}

// NewWriter starts the background goroutine that writes to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferLines), stop: make(chan struct{}), done: make(chan struct{}),
		dropped: metrics.GetOrCreateCounter(`cyclamen_log_lines_left_out_total{why="buffer full"}`)}
	go w.run(out)
	return w
}

// Write buffers one line. It never blocks: if the buffer is full, the line is
// dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Inc()
	}
	return len(line), nil
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			time.Sleep(flushDelay)
			w.writeBatch(out, line)
		case <-w.stop:
			w.writeBatch(out, nil)
			return
		}
	}
}

// writeBatch writes a line and all lines buffered behind it.
func (w *Writer) writeBatch(out io.Writer, line []byte) {
	batch := append([]byte(nil), line...)
	for {
		select {
		case next := <-w.lines:
			batch = append(batch, next...)
			if len(batch) >= maxWriteBytes {
				_, _ = out.Write(batch) // a failed log write cannot be logged
				batch = batch[:0]
			}
		default:
			_, _ = out.Write(batch)
			return
		}
	}
}

// Close writes the buffered lines and waits at most limit for it. Lines written
// later are lost.
func (w *Writer) Close(limit time.Duration) {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

// Handler limits the rate of records with the same message before it passes them
// to another handler.
type Handler struct {
	slog.Handler
	limits *rateLimits
}

type rateLimits struct {
	mu        sync.Mutex
	byMessage map[string]*messageLimit
	dropped   *metrics.Counter
}

type messageLimit struct {
	limiter *rate.Limiter
	omitted int64
}

// NewHandler wraps a handler with rate limits per message.
func NewHandler(h slog.Handler) *Handler {
	return &Handler{Handler: h, limits: &rateLimits{byMessage: map[string]*messageLimit{},
		dropped: metrics.GetOrCreateCounter(`cyclamen_log_lines_left_out_total{why="rate"}`)}}
}

// Handle passes the record on unless it is below warning level and its message
// exceeds the rate limit. The next record of that message that is passed on
// carries the number of omitted ones in left_out.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	omitted, ok := h.limits.admit(r)
	if !ok {
		return nil
	}
	if omitted > 0 {
		r.AddAttrs(slog.Int64("left_out", omitted))
	}
	return h.Handler.Handle(ctx, r)
}

func (l *rateLimits) admit(r slog.Record) (omitted int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.byMessage[r.Message]
	if m == nil {
		m = &messageLimit{limiter: rate.NewLimiter(ratePerMessage, burstPerMessage)}
		l.byMessage[r.Message] = m
	}
	if r.Level < slog.LevelWarn && !m.limiter.AllowN(r.Time, 1) {
		m.omitted++
		l.dropped.Inc()
		return 0, false
	}
	omitted, m.omitted = m.omitted, 0
	return omitted, true
}

// WithAttrs returns a handler that shares the rate limits.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), limits: h.limits}
}

// WithGroup returns a handler that shares the rate limits.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), limits: h.limits}
}
