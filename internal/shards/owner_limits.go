package shards

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/inflight"
	"cyclamenwheel/internal/peer"
	"cyclamenwheel/internal/planlease"
)

// submissionLimitSettings apply to the submissions from this process to one owner. An answer waits
// for the owner's append, for as long as storeStalledAfter while the store is slow; what takes
// longer waits for the owner. The upper bound is below attemptTimeout, so that attempts that time
// out count as slow.
var submissionLimitSettings = inflight.Settings{InitialLimit: 64, MinSlowAnswer: storeStalledAfter,
	MaxSlowAnswer: attemptTimeout - 100*time.Millisecond, SingleReceiver: true}

// ownerLimitIdle is how long a limit is kept without use: an owner's load at that time says nothing
// about its load now.
const ownerLimitIdle = time.Minute

// ownerLimits bounds the submissions in flight to each owner node. Load: an owner is overloaded or
// unreachable. Without a bound each submission holds memory here until its timeout, and an owner
// spends its time on calls that it cannot answer in time.
type ownerLimits struct {
	mu     sync.Mutex
	byNode map[string]*ownerLimit
	// sweptAt is when unused limits were last dropped.
	sweptAt time.Duration
}

type ownerLimit struct {
	limiter *inflight.Limiter
	usedAt  time.Duration
}

// acquire takes a slot for a submission to a node. finish must be called with its result; it is nil
// if the limit is reached.
func (o *ownerLimits) acquire(now time.Duration, node string) (finish func(now time.Duration, result Result, err error)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dropUnused(now)
	limit := o.byNode[node]
	if limit == nil {
		if o.byNode == nil {
			o.byNode = map[string]*ownerLimit{}
		}
		limit = &ownerLimit{limiter: inflight.New(submissionLimitSettings)}
		o.byNode[node] = limit
	}
	limit.usedAt = now
	limit.limiter.ReleaseOverdue(now)
	if limit.limiter.Free() <= 0 {
		metrics.GetOrCreateCounter(`cyclamen_gate_refusals_total{reason="owner_busy"}`).Inc()
		return nil
	}
	slot := limit.limiter.Acquire(now)
	return func(now time.Duration, result Result, err error) {
		o.mu.Lock()
		defer o.mu.Unlock()
		recordEnd(limit.limiter, now, slot, result, err)
	}
}

// OwnerLimitDump describes the limit of submissions in flight to one owner node, for operators.
type OwnerLimitDump struct {
	Node     string `json:"node"`
	Limit    int    `json:"limit"`
	InFlight int    `json:"in_flight"`
	// MedianMs is the median answer time of the last window.
	MedianMs int64 `json:"median_ms"`
	// UnusedMs is the time since the last submission to the node.
	UnusedMs int64 `json:"unused_ms"`
}

// OwnerLimits returns the limits of submissions in flight by owner node, in the order of the nodes.
func (c *Calls) OwnerLimits() []OwnerLimitDump { return c.limits.dump(planlease.Boottime()) }

func (o *ownerLimits) dump(now time.Duration) []OwnerLimitDump {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := []OwnerLimitDump{}
	for node, limit := range o.byNode {
		l := limit.limiter
		out = append(out, OwnerLimitDump{Node: node, Limit: int(l.Limit()), InFlight: l.InFlight(), MedianMs: l.Median().Milliseconds(),
			UnusedMs: (now - limit.usedAt).Milliseconds()})
	}
	slices.SortFunc(out, func(a, b OwnerLimitDump) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// dropUnused drops the limits that have not been used for ownerLimitIdle.
func (o *ownerLimits) dropUnused(now time.Duration) {
	if now-o.sweptAt < ownerLimitIdle {
		return
	}
	o.sweptAt = now
	for node, limit := range o.byNode {
		if now-limit.usedAt >= ownerLimitIdle {
			delete(o.byNode, node)
		}
	}
}

// recordEnd records how a submission ended.
func recordEnd(l *inflight.Limiter, now time.Duration, slot *inflight.Slot, result Result, err error) {
	var unreachable *peer.UnreachableError
	var unknown *peer.OutcomeUnknownError
	switch {
	case err == nil && result.Reason == resultOwnerBusy.Reason:
		l.Rejected(now, slot)
	case errors.Is(err, context.Canceled):
		l.Release(slot) // the caller has gone
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &unknown):
		l.TimedOut(now, slot)
	case errors.As(err, &unreachable):
		l.Release(slot) // it failed at once and was not sent
	default:
		l.Answered(now, slot)
	}
}
