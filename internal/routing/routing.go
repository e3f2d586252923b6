// Package routing holds the published configuration in the form that the product uses, and
// decides which queue a request belongs to. Its input is the version decoded from the
// operators' topic, and a request's host and path. The listener for callers' requests
// (platform) calls it; ingress and the executor read the queue's pool and terms.
package routing

import (
	"strings"
	"time"

	"cyclamenwheel/internal/accounts"
)

// Config is one published version, complete. It is immutable once built.
type Config struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	Limits   Limits
	// Accounts holds the client accounts and their keys; nil where there are none.
	Accounts *accounts.Directory
}

// Queue is a route for callers' jobs.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Public queues require no key.
	Public bool
	Terms  Terms
}

// Address is where callers reach a queue: the host, and the prefix of the path.
type Address struct {
	Host   string `cbor:"1,keyasint,omitempty"`
	Prefix string `cbor:"2,keyasint,omitempty"`
}

// Address returns the queue's address.
func (q *Queue) Address() Address { return Address{Host: q.Host, Prefix: q.Prefix} }

// Contains reports whether requests to the other address may have been led to this one, under a version
// that had no longer prefix.
func (a Address) Contains(other Address) bool {
	return a.Host == other.Host && strings.HasPrefix(other.Prefix, a.Prefix)
}

// Terms are the guarantees and limits of a queue's jobs. A job keeps the terms under which
// it was accepted.
type Terms struct {
	// Priority 0 is the highest.
	Priority int `cbor:"1,keyasint,omitempty"`
	// Attempts is how many runs of a task may fail before its job fails.
	Attempts int `cbor:"2,keyasint"`
	// SlowdownFactor and Slack set the job's objective: its longest chain of work times
	// SlowdownFactor, plus Slack.
	SlowdownFactor float64       `cbor:"3,keyasint" json:"Stretch"`
	Slack          time.Duration `cbor:"4,keyasint"`
	// Timeout bounds a request, not a job.
	Timeout time.Duration `cbor:"5,keyasint,omitempty"`
	Advice  *Advice       `cbor:"6,keyasint,omitempty"`
}

// Advice is set where an external service decides which endpoints may run a step of this
// queue. A call for n endpoints may take DecideMs plus n times PeriodMs.
type Advice struct {
	DecideMs int `cbor:"1,keyasint"`
	PeriodMs int `cbor:"2,keyasint"`
	ValidMs  int `cbor:"3,keyasint"`
}

// Service is a pool of instances and how its endpoints are used.
type Service struct {
	Name string
	// Guarded endpoints reject by themselves tasks that do not fit.
	Guarded bool
	// Spare pools are switched off and run nothing.
	Spare bool
	// MaxConns bounds the connections from one process to one endpoint.
	MaxConns int
}

// Limits bound callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// ServiceAt returns the service that requests to an address are led to; known is false if there is no
// queue for it.
func (c *Config) ServiceAt(a Address) (service string, known bool) {
	q, _ := c.Match(a.Host, a.Prefix)
	if q == nil {
		return "", false
	}
	return q.Service, true
}

// Match returns the queue of that host with the longest prefix of path, and the rest of
// the path; nil if there is none.
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
