package standin

import (
	"math/rand/v2"
	"time"
)

// crossWait bounds how long an answer waits for another to be exchanged with.
const crossWait = 500 * time.Millisecond

// EndpointFault is what goes wrong at one instance's endpoint.
type EndpointFault struct {
	// SlowFactor multiplies the service time; 0 stands for 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// LatencyMillis is added to each answer.
	LatencyMillis int64 `json:"latency_ms,omitempty"`

	// CutBody closes the connection in the middle of the answer's body.
	CutBody bool `json:"cut_body,omitempty"`
	// Duplicate sends the answer twice on the kept-alive connection.
	Duplicate bool `json:"duplicate,omitempty"`
	// RepeatLate sends the answer a second time ahead of the answer to the next
	// request on the same connection.
	RepeatLate bool `json:"repeat_late,omitempty"`
	// HoldBack sends no answer until the next request on the same connection,
	// whose answer it then precedes.
	HoldBack bool `json:"hold_back,omitempty"`
	// Cross exchanges the answers of two requests that run at the same time.
	Cross bool `json:"cross,omitempty"`
	// WrongRequestID answers with another X-Request-Id.
	WrongRequestID bool `json:"wrong_request_id,omitempty"`
	// NoRequestID leaves X-Request-Id out of answers and refusals.
	NoRequestID bool `json:"no_request_id,omitempty"`
	// Hang reads the request and never runs or answers it.
	Hang bool `json:"hang,omitempty"`
	// NotRun answers that the request did not run, which is true.
	NotRun bool `json:"not_run,omitempty"`
	// CloseAfterRun runs the request and closes without an answer.
	CloseAfterRun bool `json:"close_after_run,omitempty"`
	// Refuse closes every new connection at once.
	Refuse bool `json:"refuse,omitempty"`
	// FailStatus, such as 500, is answered after the request has run.
	FailStatus int `json:"fail_status,omitempty"`

	// AnswerBytes pads the answer's body with spaces to this size, and Chunked
	// sends it in chunks in place of a length.
	AnswerBytes int  `json:"answer_bytes,omitempty"`
	Chunked     bool `json:"chunked,omitempty"`

	// Next bounds the faults above that concern single requests to so many;
	// 0 sets no bound. Refuse is not bounded.
	Next int `json:"next,omitempty"`
	// Probability is drawn for each request; 0 stands for always.
	Probability float64 `json:"probability,omitempty"`
	Seed        uint64  `json:"seed,omitempty"`
}

func (e *endpoint) setFault(f EndpointFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	e.rng = rand.New(rand.NewPCG(f.Seed, 0))
}

func (e *endpoint) refuses() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault.Refuse
}

// nextFault draws what happens to one request.
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

// workTime is how long a request that asks for work takes.
func (f EndpointFault) workTime(work time.Duration) time.Duration {
	if f.SlowFactor > 0 {
		work = time.Duration(float64(work) * f.SlowFactor)
	}
	return work + time.Duration(f.LatencyMillis)*time.Millisecond
}

// crossedAnswer hands one request's answer to another's connection.
type crossedAnswer struct {
	mine  []byte
	other chan []byte
}

// cross exchanges an answer with that of another request, or gives the own one
// back where none comes.
func (s *session) cross(mine []byte) []byte {
	offer := crossedAnswer{mine: mine, other: make(chan []byte, 1)}
	timer := time.NewTimer(crossWait)
	defer timer.Stop()
	ch := s.ep.crossings()
	select {
	case ch <- offer:
		return <-offer.other
	case partner := <-ch:
		partner.other <- mine
		return partner.mine
	case <-timer.C:
	case <-s.done:
	}
	return mine
}

func (e *endpoint) crossings() chan crossedAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crossing == nil {
		e.crossing = make(chan crossedAnswer)
	}
	return e.crossing
}
