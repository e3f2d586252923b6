package harness

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/pools"
)

// checkLog replays the log and finds accepted moves and drains that left
// their pool below the budget in force at that offset, and generations that
// decreased.
func (c *Cluster) checkLog() []Finding {
	ginkgo.GinkgoHelper()
	var out []Finding
	var generation uint64
	c.FoldWith(func(st *fleetlog.State, a fleetlog.Applied) {
		if st.Manifest.Generation < generation {
			out = append(out, Finding{Promise: "generation", Detail: fmt.Sprintf(
				"%d follows %d at offset %d", st.Manifest.Generation, generation, a.Offset)})
		}
		generation = st.Manifest.Generation
		if a.Record.Kind == fleetlog.KindBegin && a.Verdict.Accepted {
			out = append(out, checkBegin(st, a)...)
		}
	})
	return out
}

// checkBegin checks the budget of each pool that an instance left at this
// offset. It counts the serving instances itself, so that a wrong count in
// the fold does not go unnoticed.
func checkBegin(st *fleetlog.State, a fleetlog.Applied) []Finding {
	var out []Finding
	serving := map[string]int{}
	affected := map[string]bool{}
	for _, in := range st.Pools.Instances {
		if in.Phase == pools.PhaseServing {
			serving[in.Pool]++
		} else if in.Since == a.Offset && in.Pool != "" {
			affected[in.Pool] = true
		}
	}
	man := st.Manifest.Current()
	for pool := range affected {
		if minAvailable := man.MinAvailable(pool); serving[pool] < minAvailable {
			out = append(out, Finding{Promise: "availability budget", Detail: fmt.Sprintf(
				"offset %d leaves pool %s with %d serving, budget %d", a.Offset, pool, serving[pool], minAvailable)})
		}
	}
	return out
}

// Verdicts returns the fold's verdicts on an author's records of a kind, in
// log order. Tests use it to see whether the delayed records of an earlier
// planner reached the log, and with which verdict.
func (c *Cluster) Verdicts(author string, kind fleetlog.Kind) []fold.Verdict {
	ginkgo.GinkgoHelper()
	var out []fold.Verdict
	_, all := c.FoldWith(nil)
	for _, a := range all {
		if a.Record.Author == author && a.Record.Kind == kind {
			out = append(out, a.Verdict)
		}
	}
	return out
}
