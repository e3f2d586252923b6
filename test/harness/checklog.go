package harness

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/pools"
)

// judgeLog looks at the log at every offset: no move or drain that took effect
// may have left its pool with less than the budget that was in force there,
// and a generation never goes back.
func (c *Cluster) judgeLog() []Finding {
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
			out = append(out, begun(st, a)...)
		}
	})
	return out
}

// begun counts the serving instances anew rather than trust the fold's own
// count.
func begun(st *fleetlog.State, a fleetlog.Applied) []Finding {
	var out []Finding
	serving := map[string]int{}
	touched := map[string]bool{}
	for _, in := range st.Pools.Instances {
		if in.Phase == pools.PhaseServing {
			serving[in.Pool]++
		} else if in.Since == a.Offset && in.Pool != "" {
			touched[in.Pool] = true
		}
	}
	man := st.Manifest.Current()
	for pool := range touched {
		if least := man.MinAvailable(pool); serving[pool] < least {
			out = append(out, Finding{Promise: "availability budget", Detail: fmt.Sprintf(
				"offset %d leaves pool %s with %d serving, budget %d", a.Offset, pool, serving[pool], least)})
		}
	}
	return out
}

// Verdicts returns the fold's verdicts on an author's records of a kind, in log
// order; it tells whether an attack took place at all, and how it ended.
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
