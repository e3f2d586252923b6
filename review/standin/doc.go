// Package standin has small stand-ins for the review's cases: the platform's store and instance
// list, workers, a client, and a cluster of real node processes on loopback. They do what the
// platform's pages say of them and nothing else.
package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes the events of a run to a file, with the seconds since the run began.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the time since the run began.
func (r *Record) Since() time.Duration { return time.Since(r.began) }

// Close closes the file.
func (r *Record) Close() error { return r.file.Close() }
