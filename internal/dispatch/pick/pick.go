// Package pick chooses the endpoint that gets a request. Its inputs are a
// pool's endpoints, the results of finished attempts, the current time and a
// random seed; it does no I/O and reads no clock. internal/dispatch uses one
// Picker per pool and calls it under the pool's lock, because a Picker does no
// locking itself; internal/measure/load runs it in simulations.
package pick

import "time"

// Endpoint describes an endpoint to a Picker.
type Endpoint struct {
	Instance string
	// BootID changes with every boot of the instance.
	BootID string
	Zone   string
	// Slots is the number of requests that this entry may currently have in
	// flight to the endpoint.
	Slots int
}

// Result is the outcome of an attempt as evidence of the endpoint's health.
type Result uint8

// Results of an attempt.
const (
	// ResultOK: a complete response was received.
	ResultOK Result = iota + 1
	// ResultFailed: no connection, an incomplete response or a server error.
	ResultFailed
	// ResultTimeout: no complete response before the deadline.
	ResultTimeout
	// ResultRefused: the endpoint stated that it did not run the request.
	ResultRefused
	// ResultNone: the attempt is no evidence about the endpoint.
	ResultNone
)

// Sample is a finished attempt.
type Sample struct {
	Result Result
	// Latency is the time from the pick to the end of the attempt.
	Latency time.Duration
	// Expected is the usual latency of the request's class; 0 if unknown.
	// Latency relative to Expected allows a fair comparison of endpoints that
	// run long and short requests.
	Expected time.Duration
}

// Picker chooses endpoints and counts the requests in flight to them.
type Picker interface {
	// Set replaces the endpoints. A removed endpoint gets no new requests;
	// those in flight to it are still counted.
	Set(now time.Time, endpoints []Endpoint)
	// Pick reserves a slot, preferring endpoints other than avoid. It returns
	// false if no slot is free.
	Pick(now time.Time, avoid string) (instance string, ok bool)
	// Done releases the slot.
	Done(now time.Time, instance string, s Sample)
	// InFlight returns how many requests are in flight to an instance.
	InFlight(instance string) int
	// EachInFlight calls f for every instance with requests in flight.
	EachInFlight(f func(instance string, n int))
	// Total returns how many requests are in flight to all instances.
	Total() int
	// Slots returns how many requests may be in flight to the endpoints
	// currently in use.
	Slots(now time.Time) int
}

// RoundRobin is the baseline: it uses each endpoint with a free slot in turn,
// regardless of its health.
type RoundRobin struct {
	endpoints []Endpoint
	next      int
	inFlight  map[string]int
	total     int
}

// NewRoundRobin returns an empty RoundRobin.
func NewRoundRobin() *RoundRobin { return &RoundRobin{inFlight: map[string]int{}} }

// Set implements Picker.
func (p *RoundRobin) Set(_ time.Time, endpoints []Endpoint) { p.endpoints = endpoints }

// Pick implements Picker.
func (p *RoundRobin) Pick(_ time.Time, avoid string) (string, bool) {
	fallback := ""
	for range p.endpoints {
		e := p.endpoints[p.next%len(p.endpoints)]
		p.next++
		if p.inFlight[e.Instance] >= e.Slots {
			continue
		}
		if e.Instance == avoid {
			fallback = e.Instance
			continue
		}
		return p.reserve(e.Instance), true
	}
	if fallback != "" {
		return p.reserve(fallback), true
	}
	return "", false
}

func (p *RoundRobin) reserve(instance string) string {
	p.inFlight[instance]++
	p.total++
	return instance
}

// Done implements Picker.
func (p *RoundRobin) Done(_ time.Time, instance string, _ Sample) {
	p.total--
	p.inFlight[instance]--
	if p.inFlight[instance] == 0 {
		delete(p.inFlight, instance)
	}
}

// InFlight implements Picker.
func (p *RoundRobin) InFlight(instance string) int { return p.inFlight[instance] }

// EachInFlight implements Picker.
func (p *RoundRobin) EachInFlight(f func(string, int)) {
	for id, n := range p.inFlight {
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
