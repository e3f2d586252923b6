// Package intake bounds what clients make a process hold. One budget covers their connections, the
// kernel's receive buffers, the headers and bodies of their requests and what these decode into, from
// arrival to release; every wait for a client has a time limit. Where the budget is used up, the
// client that holds the most for the longest without progress is closed. Its input is the listeners
// and handlers of HTTP servers; internal/host, internal/daemon and internal/operator serve through it.
package intake

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// receiveBuffer is the receive buffer of a connection, in bytes. The kernel allows for twice that.
	receiveBuffer = 16 << 10
	// connectionCost is the memory of an open connection in bytes: the kernel's buffers, and those and
	// the goroutines of the HTTP server.
	connectionCost = 2*receiveBuffer + 16<<10
	// headerFactor is the memory that a byte of a header can take: a field of four bytes takes an entry
	// of a map and a slice.
	headerFactor = 32
	// headerBase is the memory of a request without header fields, and fieldCost that of a field beside
	// its text, in bytes.
	headerBase = 2 << 10
	fieldCost  = 128
	// largeShare is the part of the budget that large requests may fill; the rest is for small ones.
	largeShare = 0.75
	// smallCost is the memory up to which a request is small, in bytes.
	smallCost = 64 << 10
	// unreadAnswerTime is how long an answer may wait for its reader before its connection may be
	// closed for others.
	unreadAnswerTime = 250 * time.Millisecond
	// progressBytes is what must arrive for a request to count as making progress; less may come in
	// pieces for as long as the caller likes.
	progressBytes = 4 << 10
	// closingShare is the inverse of the part of the connections that may be about to close beside those
	// that the limit allows.
	closingShare = 8
	// logInterval is the shortest time between two log lines.
	logInterval = time.Second
)

// Limits bound the clients of a process.
type Limits struct {
	// Memory is what all clients may hold together, in bytes.
	Memory int64
	// Connections is how many connections may be open at the same time.
	Connections int
	// BodyTimeout is how long a body may take, if its caller sets no shorter time.
	BodyTimeout time.Duration
	// AnswerTimeout is how long one write of an answer may wait for the client.
	AnswerTimeout time.Duration
}

// Reasons for which connections are closed and requests refused, as metric labels.
const (
	reasonConnections = "connections"
	reasonMemory      = "memory"
)

// Guard applies the limits to all clients of a process.
type Guard struct {
	limits Limits
	log    *slog.Logger

	mu sync.Mutex
	// held is the memory charged to conns, in bytes.
	held  int64
	conns map[*conn]struct{}
	// closed and refused count connections closed and requests refused since the last log line.
	// logging is set while that line is being written.
	closed, refused int
	loggedAt        time.Time
	logging         bool

	connectionsGauge, memoryGauge *metrics.Gauge
}

// NewGuard returns a guard without connections. A process has one; its metrics show no other.
func NewGuard(limits Limits, log *slog.Logger) *Guard {
	return &Guard{limits: limits, log: log, conns: map[*conn]struct{}{},
		connectionsGauge: metrics.GetOrCreateGauge("cyclamen_client_connections", nil),
		memoryGauge:      metrics.GetOrCreateGauge("cyclamen_client_memory_bytes", nil)}
}

// MaxBody returns the size of the largest body that the memory takes, in bytes, however large the
// handler's limit is.
func (g *Guard) MaxBody() int64 { return g.limits.maxBody() }

// admit charges a new connection, or returns nil if there is no room for it. Room is made by closing
// others, which takes them a moment; closingShare bounds how many may be about to close.
func (g *Guard) admit(raw net.Conn) *conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	c := &conn{Conn: raw, guard: g, progressAt: now}
	open := len(g.conns)
	full := open >= g.limits.Connections
	if open >= g.limits.Connections+max(1, g.limits.Connections/closingShare) || full && !g.closeOneLocked(now, c, reasonConnections) {
		g.countLocked(now, &g.refused, "cyclamen_client_refused_total", reasonConnections)
		return nil
	}
	if !g.chargeLocked(now, c, connectionCost) {
		return nil
	}
	g.conns[c] = struct{}{}
	g.connectionsGauge.Set(float64(len(g.conns)))
	return c
}

// remove releases a connection that is closed.
func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
	g.releaseLocked(c, c.held)
	g.connectionsGauge.Set(float64(len(g.conns)))
}

// charge charges n bytes to a connection. It returns false if the budget has no room for them, even
// after stalled clients have been closed.
//
// Load: a crowd fills the budget with requests that it does not complete. Refusing what comes later
// would refuse ordinary callers for as long as the crowd likes.
func (g *Guard) charge(c *conn, n int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.chargeLocked(time.Now(), c, n)
}

func (g *Guard) chargeLocked(now time.Time, c *conn, n int64) bool {
	limit := g.limits.Memory
	if c.held+n > connectionCost+smallCost {
		limit = int64(float64(limit) * largeShare)
	}
	for g.held+n > limit {
		if !g.closeOneLocked(now, c, reasonMemory) {
			g.countLocked(now, &g.refused, "cyclamen_client_refused_total", reasonMemory)
			return false
		}
	}
	g.addLocked(c, n)
	return true
}

// release releases part of what a connection holds. One that has been given up has released it.
func (g *Guard) release(c *conn, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.givenUp {
		g.releaseLocked(c, n)
	}
}

func (g *Guard) releaseLocked(c *conn, n int64) { g.addLocked(c, -n) }

func (g *Guard) addLocked(c *conn, n int64) {
	c.held += n
	g.held += n
	g.memoryGauge.Set(float64(g.held))
}

// closeOneLocked closes the connection that costs others most, other than c. It returns false if
// none may be closed.
func (g *Guard) closeOneLocked(now time.Time, c *conn, reason string) bool {
	var worst *conn
	var highest float64
	for other := range g.conns {
		if other == c || !other.closableLocked(now) {
			continue
		}
		if cost := other.costLocked(now); worst == nil || cost > highest {
			worst, highest = other, cost
		}
	}
	if worst == nil {
		return false
	}
	g.releaseLocked(worst, worst.giveUpLocked())
	g.countLocked(now, &g.closed, "cyclamen_client_closed_total", reason)
	return true
}

// countLocked counts a connection closed or a request refused, and logs the sums at most once in
// logInterval.
func (g *Guard) countLocked(now time.Time, count *int, metric, reason string) {
	*count++
	metrics.GetOrCreateCounter(metric + `{reason="` + reason + `"}`).Inc()
	if g.logging || now.Sub(g.loggedAt) < logInterval {
		return
	}
	g.logging = true
	// A log that is not read must not stop all clients.
	go g.logSums("reason", reason, "connections", len(g.conns), "held_bytes", g.held, "closed", g.closed, "refused", g.refused)
	g.closed, g.refused, g.loggedAt = 0, 0, now
}

func (g *Guard) logSums(attrs ...any) {
	g.log.Warn("clients exceed the limits", attrs...)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.logging = false
}

// CloseIncomplete closes every connection whose client has not sent a whole request, for a process
// that stops. Requests that have arrived whole are answered.
func (g *Guard) CloseIncomplete() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if c.phase != phaseHandling && c.waiting && !c.givenUp {
			g.releaseLocked(c, c.giveUpLocked())
		}
	}
}
