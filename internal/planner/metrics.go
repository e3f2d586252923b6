package planner

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/fleetlog"
)

// countDecisions counts by reason the moves and drains that a planning round
// begins and sets the gauges of the spares and of each pool.
func (p *Planner) countDecisions(st *fleetlog.State) {
	for _, m := range p.moves.Moves {
		metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamen_moves_decided_total{reason=%q}`, m.Reason)).Inc()
	}
	for _, d := range p.waves.Drains {
		metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamen_drains_decided_total{pool=%q}`, d.Pool)).Inc()
	}
	metrics.GetOrCreateFloatCounter("cyclamen_spare_needed").Set(float64(p.spare.Needed))
	metrics.GetOrCreateFloatCounter("cyclamen_spare_held").Set(float64(p.spare.Held))
	missing := make(map[string]int)
	for _, s := range p.moves.Shortfalls {
		missing[s.Pool] += s.Missing
	}
	halted := make(map[string]int)
	for _, h := range p.waves.Halts {
		halted[h.Pool] = 1
	}
	for _, pool := range st.Manifest.Current().Pools {
		setPoolGauge("cyclamen_pool_serving", pool.Name, st.Pools.Available(pool.Name))
		setPoolGauge("cyclamen_pool_wanted", pool.Name, pool.Instances.Size())
		setPoolGauge("cyclamen_pool_budget", pool.Name, st.Manifest.MinAvailable(pool.Name))
		setPoolGauge("cyclamen_pool_missing", pool.Name, missing[pool.Name])
		setPoolGauge("cyclamen_wave_held", pool.Name, halted[pool.Name])
	}
}

func setPoolGauge(name, pool string, v int) {
	metrics.GetOrCreateFloatCounter(fmt.Sprintf(`%s{pool=%q}`, name, pool)).Set(float64(v))
}

// countTasks counts placement decisions by reason and sets the gauges of
// waiting tasks, jobs set aside and quarantined workers.
func (t *taskRunner) countTasks() {
	for _, pl := range t.lastOutput.Places {
		metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamen_tasks_placed_total{reason=%q}`, pl.Reason)).Inc()
	}
	for _, s := range t.lastOutput.Stops {
		metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamen_tasks_stopped_total{reason=%q}`, s.Reason)).Inc()
	}
	waiting := make(map[string]int)
	for _, w := range t.lastOutput.Waiting {
		waiting[string(w.Reason)] += w.Tasks
	}
	for reason, n := range waiting {
		metrics.GetOrCreateFloatCounter(fmt.Sprintf(`cyclamen_tasks_waiting{reason=%q}`, reason)).Set(float64(n))
	}
	metrics.GetOrCreateFloatCounter(`cyclamen_jobs_set_aside`).Set(float64(len(t.lastOutput.SetAside)))
	metrics.GetOrCreateFloatCounter(`cyclamen_workers_quarantined`).Set(float64(len(t.lastOutput.Quarantine)))
}
