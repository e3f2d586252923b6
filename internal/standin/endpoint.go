package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cyclamenwheel/internal/platform"
)

// endpoint is the HTTP endpoint of one worker instance. It persists across
// reboots; each boot has a session of its own.
type endpoint struct {
	id              string
	slots, maxConns int
	history         *history
	port            *portReservation

	mu      sync.Mutex
	session *session
	fault   EndpointFault
	rng     *rand.Rand
	// crossOffers pairs requests whose responses are swapped.
	crossOffers chan crossOffer
}

// session is one boot: its listener, connections and requests in flight.
type session struct {
	ep   *endpoint
	boot string
	ln   net.Listener
	done chan struct{}
	wg   sync.WaitGroup

	mu              sync.Mutex
	pool            string
	state           platform.InstanceState
	leavingSince    time.Time
	closed          bool
	closeCause      downCause
	inFlight        int
	requestFinished chan struct{}
	openConns       map[net.Conn]struct{}
}

func newEndpoint(row platform.Instance, addr string, hist *history) (*endpoint, error) {
	port, err := reservePort(addr)
	if err != nil {
		return nil, &ListenError{Addr: addr, Cause: err}
	}
	return &endpoint{id: row.ID, slots: row.Slots, maxConns: row.Connections, history: hist, port: port,
		rng: rand.New(rand.NewPCG(0, 0))}, nil
}

// powerOn opens the listener and starts the session of a boot.
func (e *endpoint) powerOn(boot, pool string) error {
	ln, err := net.Listen("tcp", e.port.addr)
	if err != nil {
		return &ListenError{Addr: e.port.addr, Cause: err}
	}
	s := &session{ep: e, boot: boot, ln: ln, done: make(chan struct{}), pool: pool,
		state: platform.StateLive, requestFinished: make(chan struct{}), openConns: map[net.Conn]struct{}{}}
	e.mu.Lock()
	e.session = s
	e.mu.Unlock()
	s.wg.Go(s.acceptConns)
	return nil
}

// powerOff ends the current session immediately and cuts requests in flight.
func (e *endpoint) powerOff(cause downCause) {
	if s := e.currentSession(); s != nil {
		s.close(cause)
		s.wg.Wait()
	}
}

// drain waits up to limit for requests in flight and then ends the session. It
// reports whether the session was ended before ctx was.
func (s *session) drain(ctx context.Context, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		finished, idle := s.closeIfIdle()
		if idle {
			s.wg.Wait()
			return true
		}
		select {
		case <-finished:
		case <-timer.C:
			s.close(causeOperation)
			s.wg.Wait()
			return true
		case <-ctx.Done():
			return false
		}
	}
}

func (e *endpoint) setState(state platform.InstanceState, pool string) {
	s := e.currentSession()
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == platform.StateLeaving && s.state != state {
		s.leavingSince = time.Now()
	}
	s.state, s.pool = state, pool
}

func (e *endpoint) currentSession() *session {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.session
}

func (e *endpoint) close() {
	e.powerOff(causeForced)
	e.port.release()
}

func (s *session) acceptConns() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		if !s.admitConn(conn) {
			_ = conn.Close()
			continue
		}
		s.wg.Go(func() {
			defer s.removeConn(conn)
			s.serveConn(conn)
		})
	}
}

// admitConn registers a connection, unless the connection limit is reached, a
// fault refuses connections or the session is closed.
func (s *session) admitConn(conn net.Conn) bool {
	refuse := s.ep.refusesConns()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || refuse {
		return false
	}
	if len(s.openConns) >= s.ep.maxConns {
		s.ep.history.countConnectionViolation(s.ep.id)
		return false
	}
	s.openConns[conn] = struct{}{}
	return true
}

func (s *session) removeConn(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.openConns, conn)
}

// close ends the session and records why.
func (s *session) close(cause downCause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeLocked(cause)
}

// closeIfIdle ends the session if no request is in flight, and otherwise returns
// a channel that is closed when the next request finishes. Check and close happen
// under one lock, so a request arriving meanwhile runs either completely or not
// at all.
func (s *session) closeIfIdle() (<-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight > 0 {
		return s.requestFinished, false
	}
	s.closeLocked(causeOperation)
	return nil, true
}

func (s *session) closeLocked(cause downCause) {
	if s.closed {
		return
	}
	s.closed, s.closeCause = true, cause
	close(s.done)
	_ = s.ln.Close()
	for conn := range s.openConns {
		_ = conn.Close()
	}
}

// admission is the result of a request for a slot.
type admission int

const (
	admitted admission = iota
	noFreeSlot
	sessionClosed
)

// beginRun occupies a slot and adds the run to the history.
func (s *session) beginRun(r Run) (Run, admission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return r, sessionClosed
	case s.inFlight >= s.ep.slots:
		s.ep.history.countSlotViolation(s.ep.id)
		return r, noFreeSlot
	}
	s.inFlight++
	r.Instance, r.BootID, r.Pool, r.StateAtStart = s.ep.id, s.boot, s.pool, s.state
	r.StartMicros = time.Now().UnixMicro()
	if s.state == platform.StateLeaving {
		r.LeavingMicros = time.Since(s.leavingSince).Microseconds()
	}
	r.Seq = s.ep.history.addRun(r)
	return r, admitted
}

// endRun releases the slot. A run is completed only if its response was written
// before the session ended.
func (s *session) endRun(r Run, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ep.history.endRun(r.Seq, time.Now().UnixMicro(), completed, s.closeCause)
	s.inFlight--
	close(s.requestFinished)
	s.requestFinished = make(chan struct{})
}

// isClosed reports whether the session has ended.
func (s *session) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// poolAndState returns what the health check reports.
func (s *session) poolAndState() (pool string, state platform.InstanceState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool, s.state
}
