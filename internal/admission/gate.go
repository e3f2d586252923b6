package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxClasses bounds the classes of a Gate, and those of a Meter.
	maxClasses = 4096
	// noticeStaleAfter is how long a pool's owner has sent no notice when those that it sent no longer
	// decide alone. The age of a class's own notice is not used for this: most classes reach most nodes
	// less than once per second, and forwarding all of these raised the load of the owner from 1.8 to
	// 2.6 times its capacity in the simulation of the tests.
	noticeStaleAfter = time.Second
	// noticeDiscardedAfter is the age from which a notice decides nothing: the owner that sent it has
	// ended or no longer answers, and the limit on calls in flight protects its successor.
	noticeDiscardedAfter = 5 * time.Second
	// staleInterval is the least time between two submissions of a class that are forwarded under a
	// stale notice: 4 per second.
	staleInterval = 250 * time.Millisecond
	// minGateRetryAfter and maxGateRetryAfter bound Retry-After: HTTP counts in seconds, and a caller's
	// deadline is 3 s.
	minGateRetryAfter = time.Second
	maxGateRetryAfter = 3 * time.Second
	// creditTolerance makes up for rounding in sums of fractions.
	creditTolerance = 1e-9
)

// GateKey identifies a class of submissions: those of one account at one priority of one pool.
type GateKey struct {
	Pool     string
	Priority int
	Account  string
}

// Notice is the admission state of one class, as reported by the owner of the pool.
type Notice struct {
	// Epoch is the owner's epoch; Version increases with each notice of an epoch.
	Epoch   int64  `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// Admit is the fraction of the class's submissions to forward, 0 to 1.
	Admit float64 `cbor:"3,keyasint"`
	// WaitMs is the predicted wait of a further job of the class, in ms.
	WaitMs int64 `cbor:"4,keyasint,omitempty"`
	// RetryAfterMs is when a refused caller of the class may retry, in ms.
	RetryAfterMs int64 `cbor:"5,keyasint,omitempty"`
}

// newerThan reports whether a notice replaces another one.
func (n Notice) newerThan(other Notice) bool {
	if n.Epoch != other.Epoch {
		return n.Epoch > other.Epoch
	}
	return n.Version > other.Version
}

// GateReason says why a gate refused a submission. Values are stable: they appear in metrics and logs.
type GateReason string

// Reasons for a refusal at a gate.
const (
	// GateFraction means that the submission is beyond the fraction that the owner asks for.
	GateFraction GateReason = "fraction"
	// GateStale means that the owner has not answered for a while and was asked recently.
	GateStale GateReason = "stale"
)

// GateDecision is what a gate decided on a submission, and from what.
type GateDecision struct {
	// Reason is empty if the submission is forwarded.
	Reason GateReason
	Notice Notice
	// Age is how long ago the notice arrived.
	Age time.Duration
}

// GateRetryAfter returns when a caller that is refused under a notice may retry: 1 s to 3 s.
func GateRetryAfter(n Notice) time.Duration {
	return min(max(time.Duration(n.RetryAfterMs)*time.Millisecond, minGateRetryAfter), maxGateRetryAfter)
}

// GateDump is the state of one class at a gate.
type GateDump struct {
	Pool     string  `json:"pool"`
	Priority int     `json:"priority"`
	Account  string  `json:"account"`
	Epoch    int64   `json:"epoch"`
	Admit    float64 `json:"admit"`
	WaitMs   int64   `json:"wait_ms"`
	AgeMs    int64   `json:"age_ms"`
	Stale    bool    `json:"stale"`
	// Unreported is how many refusals the owner has not been told of.
	Unreported int `json:"unreported"`
}

// Gate decides at a node which submissions are forwarded to the owners of pools.
//
// Load: a pool receives 13 times what it can run, and each refusal at its owner costs a call. A gate
// forwards the fraction of a class that the owner asks for, evenly rather than at random, so that
// accounts with few jobs are not refused by chance. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	classes *simplelru.LRU[GateKey, *gateClass]
	// heardAt is when the last notice of each pool arrived.
	heardAt map[string]time.Duration
	random  *rand.Rand
}

// gateClass is the state of one class.
type gateClass struct {
	notice     Notice
	observedAt time.Duration
	// credit is the sum of fractions since the last submission that was forwarded.
	credit float64
	// nextStale is when the next submission is forwarded under a stale notice.
	nextStale time.Duration
	// refused counts refusals that no call has reported. It is negative after a refusal was taken back
	// whose report was under way.
	refused int
}

// NewGate returns a gate that forwards everything until it receives notices. The seed decides where
// in the sequence of a class the first forwarded submission is: without it, all nodes would forward
// their first ones at the same time.
func NewGate(seed uint64) *Gate {
	return &Gate{classes: newClasses[GateKey, *gateClass](), heardAt: map[string]time.Duration{}, random: rand.New(rand.NewPCG(seed, 0))}
}

// newClasses returns an empty map of maxClasses that evicts the least recently used class.
func newClasses[K comparable, V any]() *simplelru.LRU[K, V] {
	classes, err := simplelru.NewLRU[K, V](maxClasses, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return classes
}

// Observe takes the notice of an answer into account. It ignores notices that are older than the one
// in force.
func (g *Gate) Observe(now time.Duration, key GateKey, n Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	class, known := g.classes.Get(key)
	if !known {
		class = &gateClass{credit: g.random.Float64()}
		g.classes.Add(key, class)
	} else if !n.newerThan(class.notice) {
		return
	}
	class.notice, class.observedAt, class.nextStale = n, now, 0
	g.heardAt[key.Pool] = now
}

// Admit reports whether a submission is to be forwarded. Refused ones are counted for TakeRefused.
func (g *Gate) Admit(now time.Duration, key GateKey) (GateDecision, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	class, known := g.classes.Get(key)
	if !known {
		return GateDecision{}, true
	}
	d := GateDecision{Notice: class.notice, Age: now - class.observedAt, Reason: class.decide(now, g.heardAt[key.Pool])}
	if d.Reason == "" {
		return d, true
	}
	class.refused++
	return d, false
}

// decide returns why a submission is refused, or "". heardAt is when the pool's owner sent its last
// notice.
func (c *gateClass) decide(now, heardAt time.Duration) GateReason {
	switch {
	case c.notice.Admit >= 1 || now-c.observedAt >= noticeDiscardedAfter:
		return ""
	case now-heardAt > noticeStaleAfter:
		if now < c.nextStale {
			return GateStale
		}
		c.nextStale = now + staleInterval
		return ""
	}
	c.credit += c.notice.Admit
	if c.credit < 1-creditTolerance {
		return GateFraction
	}
	c.credit--
	return ""
}

// TakeRefused returns how many submissions of a class were refused here since the last TakeRefused,
// for the next call to the owner.
func (g *Gate) TakeRefused(key GateKey) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	class, known := g.classes.Peek(key)
	if !known {
		return 0
	}
	n := max(0, class.refused)
	class.refused -= n
	return n
}

// AddRefused corrects the count of TakeRefused: n is positive if a count did not reach the owner, and
// -1 if a submission that Admit refused was forwarded all the same.
func (g *Gate) AddRefused(key GateKey, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if class, known := g.classes.Peek(key); known {
		class.refused += n
	}
}

// Dump returns the classes, the least recently used first.
func (g *Gate) Dump(now time.Duration) []GateDump {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]GateDump, 0, g.classes.Len())
	for _, key := range g.classes.Keys() {
		class, _ := g.classes.Peek(key)
		age := now - class.observedAt
		out = append(out, GateDump{Pool: key.Pool, Priority: key.Priority, Account: key.Account, Epoch: class.notice.Epoch,
			Admit: class.notice.Admit, WaitMs: class.notice.WaitMs, AgeMs: age.Milliseconds(), Stale: class.notice.Admit < 1 && now-g.heardAt[key.Pool] > noticeStaleAfter, Unreported: class.refused})
	}
	return out
}
