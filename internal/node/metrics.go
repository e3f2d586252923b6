package node

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenwheel/internal/fleetlog"
)

// gauges holds the values of the control goroutine that /metrics exports. Scrapes read
// them from other goroutines.
type gauges struct {
	offset, generation, diverged, logDown, cutOff atomic.Uint64
}

func newGauges() *gauges {
	g := &gauges{}
	for name, v := range map[string]*atomic.Uint64{
		"cyclamen_fold_offset":           &g.offset,
		"cyclamen_manifest_generation":   &g.generation,
		"cyclamen_fold_divergence_total": &g.diverged,
		"cyclamen_log_unreachable":       &g.logDown,
		"cyclamen_cut_off":               &g.cutOff,
	} {
		metrics.GetOrCreateGauge(name, func() float64 { return float64(v.Load()) })
	}
	return g
}

// updateGauges is called on every tick.
func (n *Node) updateGauges() {
	n.gauges.offset.Store(n.State().Offset)
	n.gauges.generation.Store(n.State().Manifest.Generation)
	n.gauges.diverged.Store(uint64(n.replica.Diverged))
	n.gauges.logDown.Store(boolToUint(!n.logOK))
	n.gauges.cutOff.Store(boolToUint(n.CutOff()))
}

func boolToUint(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// countVerdicts counts folded records by kind and verdict. A rise of any reason but "ok"
// indicates a race, or a writer that acts on outdated state.
func countVerdicts(applied []fleetlog.Applied) {
	for _, a := range applied {
		metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamen_records_total{kind=%q,verdict=%q}`,
			kindLabel(a.Record.Kind), a.Verdict.Reason)).Inc()
	}
}

// kindLabel bounds the values of the label: a record's kind is whatever its author wrote.
func kindLabel(k fleetlog.Kind) fleetlog.Kind {
	if k.Known() {
		return k
	}
	return "unknown"
}
