// Package routing is the published configuration as the product uses it:
// which queue a request belongs to, which pool runs it, and on which terms.
package routing

import (
	"strings"
	"time"

	"cyclamenwheel/internal/accounts"
)

// Config is one published version, complete. It is never changed once built.
type Config struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	Limits   Limits
	// Accounts are the client accounts and their keys; nil where there are none.
	Accounts *accounts.Directory
}

// Queue is one route of callers' jobs.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Public queues ask for no key.
	Public bool
	Terms  Terms
}

// Terms are what a queue promises its jobs. A job keeps those it was accepted
// under.
type Terms struct {
	// Priority 0 comes first.
	Priority int `cbor:"1,keyasint,omitempty"`
	// Attempts is how many runs of a task may fail before its job does.
	Attempts int `cbor:"2,keyasint"`
	// Stretch times the job's longest chain of work, plus Slack, is its
	// objective.
	Stretch float64       `cbor:"3,keyasint"`
	Slack   time.Duration `cbor:"4,keyasint"`
	// TimeoutMs bounds a request, not a job.
	Timeout time.Duration `cbor:"5,keyasint,omitempty"`
	Advice  *Advice       `cbor:"6,keyasint,omitempty"`
}

// Advice says that only a separate service knows which endpoints may run a
// step of this queue.
type Advice struct {
	DecideMs int `cbor:"1,keyasint"`
	PeriodMs int `cbor:"2,keyasint"`
	ValidMs  int `cbor:"3,keyasint"`
}

// Service is a pool of instances and how its endpoints are used.
type Service struct {
	Name string
	// Guarded endpoints turn away themselves what does not fit.
	Guarded bool
	// Spare pools are switched off and run nothing.
	Spare bool
	// MaxConns bounds connections to one endpoint from one process.
	MaxConns int
}

// Limits bound callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Match returns the queue whose host fits and whose prefix is the longest that
// path begins with, and the rest of the path.
func (c *Config) Match(host, path string) (q *Queue, rest string) {
	for i := range c.Queues {
		candidate := &c.Queues[i]
		if candidate.Host != host || !strings.HasPrefix(path, candidate.Prefix) {
			continue
		}
		if q == nil || len(candidate.Prefix) > len(q.Prefix) {
			q = candidate
		}
	}
	if q == nil {
		return nil, ""
	}
	return q, path[len(q.Prefix):]
}
