package intake

import (
	"io"
	"math"
	"net"
	"time"
)

// phase is what a connection waits for.
type phase uint8

const (
	// phaseHeader lasts from the opening of a connection, or the end of its last request, to the next
	// whole header.
	phaseHeader phase = iota
	// phaseBody lasts while the handler waits for the body.
	phaseBody
	// phaseHandling lasts while a request is handled that needs no more of its client, until its answer
	// has been written.
	phaseHandling
	// phaseClosing lasts while the client reads the last answer.
	phaseClosing
)

const (
	// lingerTime and lingerBytes bound what is read of a client that is still sending when it has
	// been answered: closing a connection with unread bytes resets it, and the answer may be lost.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// expired is a deadline in the past, which ends a blocked read or write.
var expired = time.Unix(1, 0)

// conn is a client's connection. The guard's mutex protects its fields.
type conn struct {
	net.Conn
	guard *Guard

	phase phase
	// waiting is set while a goroutine waits for bytes of the client. The HTTP server asks for bytes
	// only where a request is incomplete, or to notice that its client has gone.
	waiting bool
	// writingSince is when the write began that waits for the client, zero for none. writeDeadline is
	// the one that the handler has set, zero for none.
	writingSince, writeDeadline time.Time
	// requests is how many requests have arrived.
	requests int
	// held is the memory charged, in bytes, and headerHeld the part of it for a header that is arriving.
	held, headerHeld int64
	// progressAt is when the connection last made progress, and sinceProgress what has arrived since.
	progressAt    time.Time
	sinceProgress int
	// incomplete is set if the last request has been answered before the end of its body.
	incomplete bool
	// givenUp is set once the connection is closed for others. Nothing that arrives later is handled.
	// dropped is set if that ended the wait for the client to read its last answer.
	givenUp, dropped bool
	closed           bool
}

// closableLocked reports whether the client is to blame for the connection's wait. A request that has
// arrived whole is not cut off, unless its client does not read the answer.
func (c *conn) closableLocked(now time.Time) bool {
	switch {
	case c.phase == phaseClosing:
		return !c.dropped
	case c.givenUp:
		return false
	case !c.writingSince.IsZero():
		return now.Sub(c.writingSince) > unreadAnswerTime
	}
	return c.waiting && c.phase != phaseHandling
}

// costLocked returns what a connection costs others: the memory that it has held without progress,
// in byte-seconds. An idle connection that has been answered may be used again, and costs little; one
// whose client has been answered for the last time goes first.
func (c *conn) costLocked(now time.Time) float64 {
	const idleShare = 1.0 / 1024
	if c.phase == phaseClosing {
		return math.MaxFloat64
	}
	since := c.progressAt
	if !c.writingSince.IsZero() {
		since = c.writingSince
	}
	cost := float64(c.held) * now.Sub(since).Seconds()
	if c.phase == phaseHeader && c.requests > 0 && c.sinceProgress == 0 {
		cost *= idleShare
	}
	return cost
}

// giveUpLocked ends the wait for the client, and returns how much memory is released with that. A
// handler that waits for a body answers; all other connections are closed without an answer.
func (c *conn) giveUpLocked() (released int64) {
	c.dropped = c.phase == phaseClosing
	c.givenUp = true
	_ = c.Conn.SetDeadline(expired) // fails only if the connection is closed
	if c.phase != phaseBody {
		return c.held
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
	return c.held - connectionCost
}

// Read reads from the client and charges the bytes of headers.
func (c *conn) Read(p []byte) (int, error) {
	if !c.beginRead() {
		return 0, &GivenUpError{}
	}
	n, err := c.Conn.Read(p)
	if !c.endRead(n) {
		return 0, &GivenUpError{}
	}
	return n, err
}

func (c *conn) beginRead() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.waiting = !c.givenUp
	return c.waiting
}

// endRead records n bytes read. It returns false if the connection has been given up.
func (c *conn) endRead(n int) bool {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.waiting = false
	if c.givenUp || n == 0 {
		return !c.givenUp
	}
	now := time.Now()
	if c.phase == phaseHeader {
		cost := int64(n) * headerFactor
		if !g.chargeLocked(now, c, cost) {
			c.givenUp = true
			return false
		}
		c.headerHeld += cost
	}
	c.sinceProgress += n
	if c.sinceProgress >= progressBytes {
		c.sinceProgress, c.progressAt = 0, now
	}
	return true
}

// Write writes to the client, for at most the answer timeout.
func (c *conn) Write(p []byte) (int, error) {
	c.beginWrite()
	n, err := c.Conn.Write(p)
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.writingSince = time.Time{}
	return n, err
}

func (c *conn) beginWrite() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.writingSince = time.Now()
	if c.givenUp {
		return // its deadline is set
	}
	deadline := c.writingSince.Add(c.guard.limits.AnswerTimeout)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
		deadline = c.writeDeadline
	}
	_ = c.Conn.SetWriteDeadline(deadline) // fails only if the connection is closed
}

// SetWriteDeadline sets the handler's deadline, which applies from the next write on.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.writeDeadline = t
	return nil
}

// CloseWrite ends the sending side.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection. Where the client may still be sending, it first reads what is left
// for a bounded time, so that the answer is not lost to a reset.
func (c *conn) Close() error {
	if c.beginClose() {
		if c.CloseWrite() == nil {
			_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // ends with the client, the deadline or the bound
		}
	}
	err := c.Conn.Close()
	c.guard.remove(c)
	return err
}

// beginClose reports whether the client is still to be read.
func (c *conn) beginClose() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	linger := c.incomplete && !c.closed
	c.closed = true
	if linger {
		c.phase, c.waiting = phaseClosing, true
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails only if the connection is closed
	}
	return linger
}
