package standin

import (
	"math/rand/v2"
	"time"
)

// crossTimeout bounds how long a response waits for another one to be swapped
// with.
const crossTimeout = 500 * time.Millisecond

// EndpointFault describes the faults injected at one instance's endpoint.
type EndpointFault struct {
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// LatencyMillis is added to the service time of each request.
	LatencyMillis int64 `json:"latency_ms,omitempty"`

	// CutBody closes the connection in the middle of the response body.
	CutBody bool `json:"cut_body,omitempty"`
	// Duplicate sends the response twice on the kept-alive connection.
	Duplicate bool `json:"duplicate,omitempty"`
	// RepeatLate sends the response again, right before the response to the next
	// request on the same connection.
	RepeatLate bool `json:"repeat_late,omitempty"`
	// HoldBack delays the response until the next request on the same connection and
	// sends it right before that request's response.
	HoldBack bool `json:"hold_back,omitempty"`
	// Cross swaps the responses of two concurrent requests.
	Cross bool `json:"cross,omitempty"`
	// WrongRequestID sends a different X-Request-Id in the response.
	WrongRequestID bool `json:"wrong_request_id,omitempty"`
	// NoRequestID omits X-Request-Id from all responses, including that of NotRun.
	NoRequestID bool `json:"no_request_id,omitempty"`
	// Hang reads the request but neither runs it nor responds.
	Hang bool `json:"hang,omitempty"`
	// NotRun responds that the request did not run, and does not run it.
	NotRun bool `json:"not_run,omitempty"`
	// CloseAfterRun runs the request and closes the connection without a response.
	CloseAfterRun bool `json:"close_after_run,omitempty"`
	// Refuse closes every new connection immediately.
	Refuse bool `json:"refuse,omitempty"`
	// FailStatus is a status, such as 500, sent after the request has run.
	FailStatus int `json:"fail_status,omitempty"`

	// AnswerBytes pads the response body with spaces to this size. Chunked sends it
	// with chunked transfer encoding instead of a Content-Length.
	AnswerBytes int  `json:"answer_bytes,omitempty"`
	Chunked     bool `json:"chunked,omitempty"`

	// Next limits the faults above that concern single requests to this many
	// requests; 0 means no limit. Refuse, SlowFactor and LatencyMillis are not
	// limited.
	Next int `json:"next,omitempty"`
	// Probability is drawn for each request; 0 means always.
	Probability float64 `json:"probability,omitempty"`
	Seed        uint64  `json:"seed,omitempty"`
}

func (e *endpoint) setFault(f EndpointFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	e.rng = rand.New(rand.NewPCG(f.Seed, 0))
}

func (e *endpoint) refusesConns() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault.Refuse
}

// nextFault draws the faults injected into one request.
func (e *endpoint) nextFault() EndpointFault {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.fault
	timing := EndpointFault{SlowFactor: f.SlowFactor, LatencyMillis: f.LatencyMillis}
	if f.Probability > 0 && e.rng.Float64() >= f.Probability {
		return timing
	}
	if f.Next > 0 {
		e.fault.Next--
		if e.fault.Next == 0 {
			timing.Refuse = f.Refuse
			e.fault = timing
		}
	}
	return f
}

// serviceTime is the time that a request asking for work takes under this fault.
func (f EndpointFault) serviceTime(work time.Duration) time.Duration {
	if f.SlowFactor > 0 {
		work = time.Duration(float64(work) * f.SlowFactor)
	}
	return work + time.Duration(f.LatencyMillis)*time.Millisecond
}

// crossOffer passes a response to the connection of another request and receives
// that request's response.
type crossOffer struct {
	own      []byte
	received chan []byte
}

// crossResponse swaps a response with that of another request. It returns the
// original if no other request arrives within crossTimeout or the session ends.
func (s *session) crossResponse(own []byte) []byte {
	offer := crossOffer{own: own, received: make(chan []byte, 1)}
	timer := time.NewTimer(crossTimeout)
	defer timer.Stop()
	ch := s.ep.crossChannel()
	select {
	case ch <- offer:
		return <-offer.received
	case partner := <-ch:
		partner.received <- own
		return partner.own
	case <-timer.C:
	case <-s.done:
	}
	return own
}

func (e *endpoint) crossChannel() chan crossOffer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crossOffers == nil {
		e.crossOffers = make(chan crossOffer)
	}
	return e.crossOffers
}
