package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cyclamenwheel/internal/platform"
)

// endpoint is the HTTP endpoint of one worker instance. It outlives boots;
// a session is one boot of it.
type endpoint struct {
	id           string
	slots, conns int
	hist         *history
	port         *portHolder

	mu      sync.Mutex
	session *session
	fault   EndpointFault
	rng     *rand.Rand
	// crossing is a request whose answer waits to be exchanged with the next.
	crossing chan crossedAnswer
}

// session is one boot: its listener, connections and requests in flight.
type session struct {
	ep   *endpoint
	boot string
	ln   net.Listener
	done chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	pool     string
	state    platform.InstanceState
	leaving  time.Time
	closed   bool
	why      cause
	running  int
	finished chan struct{}
	open     map[net.Conn]struct{}
}

func newEndpoint(row platform.Instance, addr string, hist *history) (*endpoint, error) {
	port, err := holdPort(addr)
	if err != nil {
		return nil, &ListenError{Addr: addr, Cause: err}
	}
	return &endpoint{id: row.ID, slots: row.Slots, conns: row.Connections, hist: hist, port: port,
		rng: rand.New(rand.NewPCG(0, 0))}, nil
}

// powerOn starts a boot.
func (e *endpoint) powerOn(boot, pool string) error {
	ln, err := net.Listen("tcp", e.port.addr)
	if err != nil {
		return &ListenError{Addr: e.port.addr, Cause: err}
	}
	s := &session{ep: e, boot: boot, ln: ln, done: make(chan struct{}), pool: pool,
		state: platform.StateLive, finished: make(chan struct{}), open: map[net.Conn]struct{}{}}
	e.mu.Lock()
	e.session = s
	e.mu.Unlock()
	s.wg.Go(s.accept)
	return nil
}

// powerOff ends the boot at once: requests in flight are cut.
func (e *endpoint) powerOff(why cause) {
	if s := e.current(); s != nil {
		s.shut(why)
		s.wg.Wait()
	}
}

// drain lets requests in flight end, at most until limit, and then ends the
// boot. It reports whether ctx allowed it to get there.
func (s *session) drain(ctx context.Context, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		finished, idle := s.shutIfIdle()
		if idle {
			s.wg.Wait()
			return true
		}
		select {
		case <-finished:
		case <-timer.C:
			s.shut(causeOperation)
			s.wg.Wait()
			return true
		case <-ctx.Done():
			return false
		}
	}
}

func (e *endpoint) setState(state platform.InstanceState, pool string) {
	s := e.current()
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == platform.StateLeaving && s.state != state {
		s.leaving = time.Now()
	}
	s.state, s.pool = state, pool
}

func (e *endpoint) current() *session {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.session
}

func (e *endpoint) close() {
	e.powerOff(causeForced)
	e.port.release()
}

func (s *session) accept() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		if !s.admit(conn) {
			_ = conn.Close()
			continue
		}
		s.wg.Go(func() {
			defer s.forget(conn)
			s.serve(conn)
		})
	}
}

// admit takes a connection unless there are too many.
func (s *session) admit(conn net.Conn) bool {
	refuse := s.ep.refuses()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || refuse {
		return false
	}
	if len(s.open) >= s.ep.conns {
		s.ep.hist.connectionViolation(s.ep.id)
		return false
	}
	s.open[conn] = struct{}{}
	return true
}

func (s *session) forget(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

// shut ends the session.
func (s *session) shut(why cause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shutLocked(why)
}

// shutIfIdle ends the session if nothing is in flight. Both happen under one
// lock: a request that comes at this moment is either run whole or not at all.
func (s *session) shutIfIdle() (<-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running > 0 {
		return s.finished, false
	}
	s.shutLocked(causeOperation)
	return nil, true
}

func (s *session) shutLocked(why cause) {
	if s.closed {
		return
	}
	s.closed, s.why = true, why
	close(s.done)
	_ = s.ln.Close()
	for conn := range s.open {
		_ = conn.Close()
	}
}

// admission is what became of a request's wish for a slot.
type admission int

const (
	admitted admission = iota
	slotsTaken
	shuttingDown
)

// begin takes a slot and notes the run.
func (s *session) begin(r Run) (Run, admission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return r, shuttingDown
	case s.running >= s.ep.slots:
		s.ep.hist.slotViolation(s.ep.id)
		return r, slotsTaken
	}
	s.running++
	r.Instance, r.BootID, r.Pool, r.StateAtStart = s.ep.id, s.boot, s.pool, s.state
	r.StartMicros = time.Now().UnixMicro()
	if s.state == platform.StateLeaving {
		r.LeavingMicros = time.Since(s.leaving).Microseconds()
	}
	r.Seq = s.ep.hist.begin(r)
	return r, admitted
}

// end gives the slot back. A run that completed is one whose answer was
// written before the session ended.
func (s *session) end(r Run, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ep.hist.end(r.Seq, time.Now().UnixMicro(), completed, s.why)
	s.running--
	close(s.finished)
	s.finished = make(chan struct{})
}

// cut reports whether the session has ended.
func (s *session) cut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// identity is what a health check shows.
func (s *session) identity() (pool string, state platform.InstanceState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool, s.state
}
