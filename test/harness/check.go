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

// lossDetectionGrace is how long after a forced loss a drain decision may
// still ignore it. It covers the lag of the instance list, the time for a
// record to pass through the log, and a margin for a busy machine. A drain
// that begins later must account for the loss.
const lossDetectionGrace = 3 * time.Second

// Finding is one violation of a guarantee.
type Finding struct {
	Promise string
	Detail  string
}

func (f Finding) String() string { return f.Promise + ": " + f.Detail }

// Observed is what the stand-in platform recorded during a run.
type Observed struct {
	Availability standin.Availability
	History      standin.History
	Violations   standin.Violations
}

// Rules are the requirements of all manifests that have been in force.
type Rules struct {
	// MinAvailable is the lowest availability budget of each pool over all
	// manifests.
	MinAvailable map[string]int
	// PoolsOf lists, for each service, the pools that may answer it.
	PoolsOf map[string][]string
}

// checkRules derives the rules from the manifests that were accepted.
func (l *manifestHistory) checkRules() Rules {
	r := Rules{MinAvailable: map[string]int{}, PoolsOf: map[string][]string{}}
	for _, p := range l.all() {
		for _, s := range p.manifest.Services {
			r.PoolsOf[s.Name] = append(r.PoolsOf[s.Name], s.Pool)
		}
		for _, pool := range p.manifest.Pools {
			laxest, exists := r.MinAvailable[pool.Name]
			budget := p.manifest.MinAvailable(pool.Name)
			if !exists || budget < laxest {
				r.MinAvailable[pool.Name] = budget
			}
		}
	}
	return r
}

// Check expects that neither the platform records, nor the log, nor the
// generation watch show a violation so far.
func (c *Cluster) Check() {
	ginkgo.GinkgoHelper()
	var observed Observed
	var err error
	observed.Availability, err = c.Standin.Availability(bg)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	observed.History, err = c.Standin.History(bg, 1)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	observed.Violations, err = c.Standin.Violations(bg)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(observed.History.Dropped).To(gomega.BeZero(), "the history is incomplete")
	gomega.Expect(FindViolations(observed, c.manifests.checkRules())).To(gomega.BeEmpty())
	gomega.Expect(c.checkLog()).To(gomega.BeEmpty())
	gomega.Expect(c.generations.currentFindings()).To(gomega.BeEmpty())
}

// FindViolations returns all violations in the records of the platform.
func FindViolations(observed Observed, rules Rules) []Finding {
	return slices.Concat(
		checkBudget(observed.Availability, rules.MinAvailable),
		checkOnePool(observed.History.Runs, rules.PoolsOf),
		checkAtMostOnce(observed.History.Runs),
		checkEndpoints(observed.Violations),
	)
}

// checkBudget checks every point of the availability timeline against two
// rules for each pool. The instances that would be live without forced losses
// never fall below the budget, as only operations of the system itself reduce
// them. And no instance is drained while the pool is below its budget because
// of losses older than lossDetectionGrace.
func checkBudget(a standin.Availability, minAvailable map[string]int) []Finding {
	points := slices.Clone(a.Points)
	slices.SortStableFunc(points, func(x, y standin.AvailabilityPoint) int {
		return cmp.Compare(x.TimeMicros, y.TimeMicros)
	})
	var out []Finding
	pools := map[string]*poolTimeline{}
	for _, p := range points {
		t := pools[p.Pool]
		if t == nil {
			t = &poolTimeline{budget: minAvailable[p.Pool], last: p.PoolCount}
			pools[p.Pool] = t
		}
		if detail := t.advance(p); detail != "" {
			out = append(out, Finding{Promise: "availability budget", Detail: fmt.Sprintf(
				"pool %s at %d us: %s: %+v, budget %d", p.Pool, p.TimeMicros, detail, p.PoolCount, t.budget)})
		}
	}
	return out
}

// poolTimeline is the state of the check after the points of one pool so far.
type poolTimeline struct {
	budget int
	last   standin.PoolCount
	lostAt []int64 // times of the forced losses whose instances have not returned
}

// advance applies the next point and describes the violation that it shows,
// or returns an empty string.
func (t *poolTimeline) advance(p standin.AvailabilityPoint) string {
	t.recordLosses(p)
	drained := p.VoluntaryDown > t.last.VoluntaryDown
	unforcedBefore := t.last.Live + t.last.ForcedDown
	t.last = p.PoolCount
	if unforced := p.Live + p.ForcedDown; unforced < t.budget && unforced < unforcedBefore {
		return "operations of the system leave fewer instances than the budget"
	}
	if drained && p.Live+t.recentLosses(p.TimeMicros) < t.budget {
		return "drained although earlier losses had used up the budget"
	}
	return ""
}

// recordLosses adds new forced losses and drops the oldest ones when
// instances return.
func (t *poolTimeline) recordLosses(p standin.AvailabilityPoint) {
	for range p.ForcedDown - t.last.ForcedDown {
		t.lostAt = append(t.lostAt, p.TimeMicros)
	}
	if recovered := len(t.lostAt) - p.ForcedDown; recovered > 0 {
		t.lostAt = t.lostAt[recovered:]
	}
}

// recentLosses counts the missing instances that were lost within
// lossDetectionGrace.
func (t *poolTimeline) recentLosses(now int64) int {
	n := 0
	for _, at := range t.lostAt {
		if now-at < lossDetectionGrace.Microseconds() {
			n++
		}
	}
	return n
}

// checkOnePool finds requests that ran on an instance while it was in a pool
// that does not answer their service.
func checkOnePool(runs []standin.Run, poolsOf map[string][]string) []Finding {
	var out []Finding
	for _, r := range runs {
		if !slices.Contains(poolsOf[r.Service], r.Pool) {
			out = append(out, Finding{Promise: "one pool", Detail: fmt.Sprintf(
				"request %s of service %s reached %s in pool %q", r.RequestID, r.Service, r.Instance, r.Pool)})
		}
	}
	return out
}

// checkAtMostOnce finds idempotency keys whose request ran more than once.
func checkAtMostOnce(runs []standin.Run) []Finding {
	first := map[string]int{}
	var out []Finding
	for _, r := range runs {
		if r.IdempotencyKey == "" {
			continue
		}
		if seq, ranBefore := first[r.IdempotencyKey]; ranBefore {
			out = append(out, Finding{Promise: "at most once", Detail: fmt.Sprintf(
				"key %s ran as %d and as %d", r.IdempotencyKey, seq, r.Seq)})
			continue
		}
		first[r.IdempotencyKey] = r.Seq
	}
	return out
}

// checkEndpoints finds exceeded slots, exceeded connection limits and
// requests that an operation interrupted.
func checkEndpoints(v standin.Violations) []Finding {
	var out []Finding
	if n := v.SlotTotal(); n > 0 {
		out = append(out, Finding{Promise: "slots", Detail: fmt.Sprintf("%d requests beyond the slot limit: %v", n, v.SlotViolations)})
	}
	if n := v.ConnectionTotal(); n > 0 {
		out = append(out, Finding{Promise: "connections", Detail: fmt.Sprintf("%d connections beyond the limit: %v", n, v.ConnectionViolations)})
	}
	if v.CutByOperation > 0 {
		out = append(out, Finding{Promise: "graceful", Detail: fmt.Sprintf("%d requests interrupted by operations", v.CutByOperation)})
	}
	return out
}
