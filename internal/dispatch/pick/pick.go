// Package pick chooses the endpoint that gets a request. It is pure: no
// sockets, no clock, its randomness is seeded by the caller.
//
// A picker is owned by one lock or goroutine; it does no locking of its own.
package pick

import "time"

// Endpoint is what a picker knows of one endpoint.
type Endpoint struct {
	Instance string
	// BootID changes at every boot of the instance.
	BootID string
	Zone   string
	// Slots is the number of requests that this entry may have in flight to
	// the endpoint now.
	Slots int
}

// Result is how an attempt ended, as far as the endpoint's health goes.
type Result uint8

// Results of an attempt.
const (
	// ResultOK: a complete answer came back.
	ResultOK Result = iota + 1
	// ResultFailed: no connection, a broken answer or a server error.
	ResultFailed
	// ResultTimeout: no whole answer before the deadline.
	ResultTimeout
	// ResultRefused: the endpoint said that it did not run the request.
	ResultRefused
	// ResultNone: the attempt says nothing about the endpoint.
	ResultNone
)

// Sample is one finished attempt.
type Sample struct {
	Result Result
	// Latency is the time from the pick to the end of the attempt.
	Latency time.Duration
	// Expected is the usual latency of the request's class; 0 if unknown. The
	// ratio of the two compares endpoints fairly when long and short work are
	// mixed.
	Expected time.Duration
}

// Picker chooses endpoints and counts what is in flight to them.
type Picker interface {
	// Set replaces the endpoints. One that is left out gets no new request;
	// what is in flight to it goes on being counted.
	Set(now time.Time, endpoints []Endpoint)
	// Pick reserves a slot, at another endpoint than avoid where there is one.
	// It returns false where no slot is free.
	Pick(now time.Time, avoid string) (instance string, ok bool)
	// Done gives the slot back.
	Done(now time.Time, instance string, s Sample)
	// InFlight returns how many requests are in flight to an instance.
	InFlight(instance string) int
	// EachInFlight calls f for every instance with requests in flight.
	EachInFlight(f func(instance string, n int))
	// Total returns how many requests are in flight to all instances.
	Total() int
	// Slots returns how many requests may be in flight to the endpoints that
	// are used at present.
	Slots(now time.Time) int
}

// RoundRobin is the baseline: each endpoint in turn that has a free slot,
// whatever its health.
type RoundRobin struct {
	endpoints []Endpoint
	next      int
	flight    map[string]int
	total     int
}

// NewRoundRobin returns an empty RoundRobin.
func NewRoundRobin() *RoundRobin { return &RoundRobin{flight: map[string]int{}} }

// Set implements Picker.
func (p *RoundRobin) Set(_ time.Time, endpoints []Endpoint) { p.endpoints = endpoints }

// Pick implements Picker.
func (p *RoundRobin) Pick(_ time.Time, avoid string) (string, bool) {
	second := ""
	for range p.endpoints {
		e := p.endpoints[p.next%len(p.endpoints)]
		p.next++
		if p.flight[e.Instance] >= e.Slots {
			continue
		}
		if e.Instance == avoid {
			second = e.Instance
			continue
		}
		return p.take(e.Instance), true
	}
	if second != "" {
		return p.take(second), true
	}
	return "", false
}

func (p *RoundRobin) take(instance string) string {
	p.flight[instance]++
	p.total++
	return instance
}

// Done implements Picker.
func (p *RoundRobin) Done(_ time.Time, instance string, _ Sample) {
	p.total--
	p.flight[instance]--
	if p.flight[instance] == 0 {
		delete(p.flight, instance)
	}
}

// InFlight implements Picker.
func (p *RoundRobin) InFlight(instance string) int { return p.flight[instance] }

// EachInFlight implements Picker.
func (p *RoundRobin) EachInFlight(f func(string, int)) {
	for id, n := range p.flight {
		if n > 0 {
			f(id, n)
		}
	}
}

// Total implements Picker.
func (p *RoundRobin) Total() int { return p.total }

// Slots implements Picker.
func (p *RoundRobin) Slots(time.Time) int {
	n := 0
	for _, e := range p.endpoints {
		n += e.Slots
	}
	return n
}
