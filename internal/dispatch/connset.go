package dispatch

import (
	"context"
	"net"
	"sync"
	"time"

	"cyclamenwheel/internal/planlease"
)

// idleTimeout is how long an unused connection is kept. It is below the five
// seconds after which common servers close idle connections: a request written
// while the remote end closes has an unknown outcome.
const idleTimeout = 4 * time.Second

// maxConfirmationAge is how long a health check remains valid while the list of
// instances is out of date. It limits how long a leaving endpoint gets new
// work, at a cost of at most one health check per second and connection.
const maxConfirmationAge = time.Second

// maxAcceptingAge is the longest time between the evidence that an endpoint
// accepts work and writing the first byte of a request to it.
//
// The process may be paused between the check and the write, and the endpoint
// may leave in the meantime. The age is therefore checked in the write itself,
// which leaves only a pause within that one call. It exceeds
// maxConfirmationAge, so that a health check of that age can still be used, and
// any scheduling delay on a busy machine.
const maxAcceptingAge = 2 * maxConfirmationAge

// DialFunc opens a connection to host:port.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// connKey identifies the remote end of a connection. Connections with different
// keys are not interchangeable.
type connKey struct{ pool, instance, bootID, addr string }

// connSet keeps idle connections to endpoints.
type connSet struct {
	dial          DialFunc
	routesCurrent func() bool

	mu             sync.Mutex
	idle           map[connKey][]*conn
	sweepScheduled bool
}

func newConnSet(dial DialFunc, current func() bool) *connSet {
	return &connSet{dial: dial, routesCurrent: current, idle: map[connKey][]*conn{}}
}

func connKeyOf(pool string, e Endpoint) connKey {
	return connKey{pool, e.Instance, e.BootID, e.Addr}
}

// get returns a verified connection for exclusive use.
func (s *connSet) get(pool string, e Endpoint, deadline time.Time) (*conn, error) {
	t := connKeyOf(pool, e)
	for c := s.pop(t); c != nil; c = s.pop(t) {
		if time.Since(c.idleSince) < idleTimeout && c.openAndEmpty() {
			return c, s.reconfirm(c, pool, e, deadline)
		}
		c.close()
	}
	return connect(s.dial, pool, e, deadline)
}

// reconfirm verifies that the endpoint still accepts work if the list of
// instances is out of date.
//
// The list is out of date if the entry is cut off from the platform, or was
// paused and has not read the list since. An endpoint listed as leaving would
// otherwise keep getting work over kept connections and be stopped while
// running it. New connections are always verified; this covers kept ones.
func (s *connSet) reconfirm(c *conn, pool string, e Endpoint, deadline time.Time) error {
	now := planlease.Boottime()
	if s.routesCurrent() {
		c.acceptingAt = now
		return nil
	}
	if now-c.confirmedAt < maxConfirmationAge {
		c.acceptingAt = c.confirmedAt
		return nil
	}
	if err := c.confirm(pool, e, connectDeadline(deadline)); err != nil {
		c.close()
		return &ConnectError{Instance: e.Instance, Cause: err}
	}
	return nil
}

// pop takes the most recently used connection, so that the others can expire.
func (s *connSet) pop(t connKey) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.idle[t]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	s.idle[t] = list[:len(list)-1]
	return c
}

// closeIdleTo closes the idle connections to an endpoint.
//
// If a host disappears without closing its connections, a request sent on any
// idle connection to it is lost until its deadline, with unknown outcome. After
// one failure the other connections are therefore discarded too; a new
// connection is verified before a request is sent.
func (s *connSet) closeIdleTo(pool string, e Endpoint) {
	t := connKeyOf(pool, e)
	for c := s.pop(t); c != nil; c = s.pop(t) {
		c.close()
	}
}

// put keeps a connection whose last response has been read to its end.
func (s *connSet) put(pool string, e Endpoint, c *conn) {
	t := connKeyOf(pool, e)
	c.idleSince = time.Now()
	// A deadline in the past would make the next openAndEmpty fail.
	if err := c.raw.SetDeadline(time.Time{}); err != nil {
		c.close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle[t]) >= max(e.Connections, 1) {
		c.close()
		return
	}
	s.idle[t] = append(s.idle[t], c)
	if !s.sweepScheduled {
		s.sweepScheduled = true
		time.AfterFunc(idleTimeout, s.sweep)
	}
}

// sweep closes expired idle connections and reschedules itself while any are
// left.
func (s *connSet) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t, list := range s.idle {
		n := 0
		for n < len(list) && time.Since(list[n].idleSince) >= idleTimeout {
			list[n].close()
			n++
		}
		if n == len(list) {
			delete(s.idle, t)
			continue
		}
		s.idle[t] = append([]*conn(nil), list[n:]...)
	}
	s.sweepScheduled = len(s.idle) > 0
	if s.sweepScheduled {
		time.AfterFunc(idleTimeout/2, s.sweep)
	}
}

// closeAllIdle closes every idle connection.
func (s *connSet) closeAllIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t, list := range s.idle {
		for _, c := range list {
			c.close()
		}
		delete(s.idle, t)
	}
}
