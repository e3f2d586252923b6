package harness

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cyclamenwheel/internal/standin"
)

// lossGrace is how long a forced loss may be unknown to whoever decides a
// drain: the list's lag, a record's way through the log, and a margin for a
// busy machine. A drain that begins later must have reckoned with the loss.
const lossGrace = 3 * time.Second

// Finding is one breach of a promise.
type Finding struct {
	Promise string
	Detail  string
}

func (f Finding) String() string { return f.Promise + ": " + f.Detail }

// Observed is what the platform saw of a run.
type Observed struct {
	Availability standin.Availability
	History      standin.History
	Violations   standin.Violations
}

// Rules are what the manifests that were in force asked for.
type Rules struct {
	// MinAvailable is each pool's budget, the laxest of the manifests.
	MinAvailable map[string]int
	// PoolsOf holds the pools that may answer a service.
	PoolsOf map[string][]string
}

func (l *ledger) rules() Rules {
	r := Rules{MinAvailable: map[string]int{}, PoolsOf: map[string][]string{}}
	for _, p := range l.all() {
		for _, s := range p.man.Services {
			r.PoolsOf[s.Name] = append(r.PoolsOf[s.Name], s.Pool)
		}
		for _, pool := range p.man.Pools {
			least, known := r.MinAvailable[pool.Name]
			budget := p.man.MinAvailable(pool.Name)
			if !known || budget < least {
				r.MinAvailable[pool.Name] = budget
			}
		}
	}
	return r
}

// Check expects that the platform saw no breach of any promise so far.
func (c *Cluster) Check() {
	ginkgo.GinkgoHelper()
	var seen Observed
	var err error
	seen.Availability, err = c.Standin.Availability(bg)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	seen.History, err = c.Standin.History(bg, 1)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	seen.Violations, err = c.Standin.Violations(bg)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(seen.History.Dropped).To(gomega.BeZero(), "the history is incomplete")
	gomega.Expect(Judge(seen, c.ledger.rules())).To(gomega.BeEmpty())
	gomega.Expect(c.judgeLog()).To(gomega.BeEmpty())
	gomega.Expect(c.watch.found()).To(gomega.BeEmpty())
}

// Judge finds all breaches in what was seen.
func Judge(seen Observed, rules Rules) []Finding {
	return slices.Concat(
		budget(seen.Availability, rules.MinAvailable),
		onePool(seen.History.Runs, rules.PoolsOf),
		atMostOnce(seen.History.Runs),
		endpoints(seen.Violations),
	)
}

// budget looks at every moment of the timeline. Two things are asked of each
// pool. What would be live had nothing been lost by force is never under the
// budget: that is what the system's own acts leave. And no instance is taken
// out of service while the pool is under its budget for losses that had been
// there for long enough to be known.
func budget(a standin.Availability, least map[string]int) []Finding {
	points := slices.Clone(a.Points)
	slices.SortStableFunc(points, func(x, y standin.AvailabilityPoint) int {
		return cmp.Compare(x.TimeMicros, y.TimeMicros)
	})
	var out []Finding
	pools := map[string]*poolTimeline{}
	for _, p := range points {
		t := pools[p.Pool]
		if t == nil {
			t = &poolTimeline{budget: least[p.Pool], last: p.PoolCount}
			pools[p.Pool] = t
		}
		if detail := t.step(p); detail != "" {
			out = append(out, Finding{Promise: "availability budget", Detail: fmt.Sprintf(
				"pool %s at %d us: %s: %+v, budget %d", p.Pool, p.TimeMicros, detail, p.PoolCount, t.budget)})
		}
	}
	return out
}

// poolTimeline walks along one pool's points.
type poolTimeline struct {
	budget int
	last   standin.PoolCount
	lostAt []int64 // times of forced losses that are still missing
}

func (t *poolTimeline) step(p standin.AvailabilityPoint) string {
	t.note(p)
	took := p.VoluntaryDown > t.last.VoluntaryDown
	had := t.last.Live + t.last.ForcedDown
	t.last = p.PoolCount
	if unforced := p.Live + p.ForcedDown; unforced < t.budget && unforced < had {
		return "the system's own acts leave less than the budget"
	}
	if took && p.Live+t.recentLosses(p.TimeMicros) < t.budget {
		return "taken out of service although losses had left no room"
	}
	return ""
}

func (t *poolTimeline) note(p standin.AvailabilityPoint) {
	for range p.ForcedDown - t.last.ForcedDown {
		t.lostAt = append(t.lostAt, p.TimeMicros)
	}
	if extra := len(t.lostAt) - p.ForcedDown; extra > 0 {
		t.lostAt = t.lostAt[extra:]
	}
}

func (t *poolTimeline) recentLosses(now int64) int {
	n := 0
	for _, at := range t.lostAt {
		if now-at < lossGrace.Microseconds() {
			n++
		}
	}
	return n
}

// onePool finds requests that reached an instance while it was in a pool that
// does not answer their service.
func onePool(runs []standin.Run, poolsOf map[string][]string) []Finding {
	var out []Finding
	for _, r := range runs {
		if !slices.Contains(poolsOf[r.Service], r.Pool) {
			out = append(out, Finding{Promise: "one pool", Detail: fmt.Sprintf(
				"request %s of service %s reached %s in pool %q", r.RequestID, r.Service, r.Instance, r.Pool)})
		}
	}
	return out
}

// atMostOnce finds keys of non-idempotent requests that ran twice.
func atMostOnce(runs []standin.Run) []Finding {
	first := map[string]int{}
	var out []Finding
	for _, r := range runs {
		if r.IdempotencyKey == "" {
			continue
		}
		if seq, ran := first[r.IdempotencyKey]; ran {
			out = append(out, Finding{Promise: "at most once", Detail: fmt.Sprintf(
				"key %s ran as %d and as %d", r.IdempotencyKey, seq, r.Seq)})
			continue
		}
		first[r.IdempotencyKey] = r.Seq
	}
	return out
}

// endpoints finds what must not happen to endpoints.
func endpoints(v standin.Violations) []Finding {
	var out []Finding
	if n := v.SlotTotal(); n > 0 {
		out = append(out, Finding{Promise: "slots", Detail: fmt.Sprintf("%d requests over the slots: %v", n, v.SlotViolations)})
	}
	if n := v.ConnectionTotal(); n > 0 {
		out = append(out, Finding{Promise: "connections", Detail: fmt.Sprintf("%d connections too many: %v", n, v.ConnectionViolations)})
	}
	if v.CutByOperation > 0 {
		out = append(out, Finding{Promise: "graceful", Detail: fmt.Sprintf("%d requests cut by operations", v.CutByOperation)})
	}
	return out
}
