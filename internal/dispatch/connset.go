package dispatch

import (
	"context"
	"net"
	"sync"
	"time"

	"cyclamenwheel/internal/planlease"
)

// idleTimeout is how long an unused connection is kept. It stays below the
// five seconds after which common servers close theirs: a request that is
// written while the far end closes has an unknown outcome.
const idleTimeout = 4 * time.Second

// confirmedFor is how long a confirmed connection counts as such while the list
// of instances is out of date. A leaving endpoint gets new work for no longer,
// and a connection costs one health check a second at most.
const confirmedFor = time.Second

// vouchedFor is how long after an endpoint was known to take work the first
// byte of a request may still be written to it.
//
// Failure: the process is paused between the check and the write. Symptom: the
// request goes out when it wakes, to an endpoint that has left meanwhile. Asked
// at the write itself, what remains is a pause within that one call. It is
// longer than confirmedFor, so that an answer that is as old as that may be
// used, and above any delay of a scheduler on a busy machine.
const vouchedFor = 2 * confirmedFor

// DialFunc opens a connection to host:port.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// target is what a connection leads to. A change of any field makes it another
// one.
type target struct{ pool, instance, bootID, addr string }

// connSet keeps idle connections to endpoints.
type connSet struct {
	dial    DialFunc
	current func() bool

	mu       sync.Mutex
	idle     map[target][]*conn
	sweeping bool
}

func newConnSet(dial DialFunc, current func() bool) *connSet {
	return &connSet{dial: dial, current: current, idle: map[target][]*conn{}}
}

func targetOf(pool string, e Endpoint) target {
	return target{pool, e.Instance, e.BootID, e.Addr}
}

// get returns a confirmed connection that nobody else uses.
func (s *connSet) get(pool string, e Endpoint, deadline time.Time) (*conn, error) {
	t := targetOf(pool, e)
	for c := s.pop(t); c != nil; c = s.pop(t) {
		if time.Since(c.idleSince) < idleTimeout && c.quiet() {
			return c, s.reconfirm(c, pool, e, deadline)
		}
		c.close()
	}
	return connect(s.dial, pool, e, deadline)
}

// reconfirm asks the endpoint whether it still takes work, where the list of
// instances cannot tell.
//
// Failure: the entry is cut off from the platform, or it was paused and has not
// read the list since. Symptom: an endpoint that was listed as leaving goes on
// getting work over connections that stand, and is stopped in the middle of it.
// New connections are always confirmed; here the ones that are kept are too.
func (s *connSet) reconfirm(c *conn, pool string, e Endpoint, deadline time.Time) error {
	now := planlease.Boottime()
	if s.current() {
		c.vouched = now
		return nil
	}
	if now-c.confirmed < confirmedFor {
		c.vouched = c.confirmed
		return nil
	}
	if err := c.confirm(pool, e, connectBy(deadline)); err != nil {
		c.close()
		return &ConnectError{Instance: e.Instance, Cause: err}
	}
	return nil
}

// pop takes the connection that was used last: the others can then age out.
func (s *connSet) pop(t target) *conn {
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

// drop closes the idle connections to an endpoint.
//
// Failure: a host vanishes without closing its connections. Symptom: each idle
// connection to it swallows one more request until its deadline, with unknown
// outcome. After one failure the others are not trusted either; a new one
// proves itself before a request is sent.
func (s *connSet) drop(pool string, e Endpoint) {
	t := targetOf(pool, e)
	for c := s.pop(t); c != nil; c = s.pop(t) {
		c.close()
	}
}

// put keeps a connection whose last answer has been read to its end.
func (s *connSet) put(pool string, e Endpoint, c *conn) {
	t := targetOf(pool, e)
	c.idleSince = time.Now()
	// A deadline in the past would make the next look at the socket fail.
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
	if !s.sweeping {
		s.sweeping = true
		time.AfterFunc(idleTimeout, s.sweep)
	}
}

// sweep closes what has been idle for too long, for as long as there is any.
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
	s.sweeping = len(s.idle) > 0
	if s.sweeping {
		time.AfterFunc(idleTimeout/2, s.sweep)
	}
}

// closeIdle closes every idle connection.
func (s *connSet) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t, list := range s.idle {
		for _, c := range list {
			c.close()
		}
		delete(s.idle, t)
	}
}
