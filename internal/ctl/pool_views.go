package ctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/explain"
)

const (
	// oldAfterMs is the age from which figures are marked as old: an owner that works
	// renews them several times per second.
	oldAfterMs = 5000
	// noAccount stands for callers without an account.
	noAccount = "(none)"
	// dutyInstances is the name, among the duties, of the one that is not a pool.
	dutyInstances = "instances"
)

// poolView is a pool as the answering nodes report it.
type poolView struct {
	Pool string `json:"pool"`
	// Owner is the node that reported Dump, or else whom another node takes for the
	// owner.
	Owner string `json:"owner"`
	// Dump is nil if no answering node owns the pool.
	Dump *executor.PoolDump `json:"-"`
}

// mergePools returns all pools that the nodes know, sorted by name. Of several nodes
// that report to own a pool, the one with the newest epoch counts.
func mergePools(dumps []explain.NodeDump) []poolView {
	views := map[string]poolView{}
	for _, d := range dumps {
		for _, duty := range d.Duties.Duties {
			if _, known := views[duty.Duty]; !known && duty.Duty != dutyInstances {
				views[duty.Duty] = poolView{Pool: duty.Duty, Owner: duty.Owner}
			}
		}
		for i := range d.Pools {
			p := &d.Pools[i]
			if v := views[p.Summary.Pool]; v.Dump == nil || v.Dump.Epoch < p.Epoch {
				views[p.Summary.Pool] = poolView{Pool: p.Summary.Pool, Owner: d.Node, Dump: p}
			}
		}
	}
	return slices.SortedFunc(maps.Values(views), func(a, b poolView) int { return cmp.Compare(a.Pool, b.Pool) })
}

// printMissing prints a line for each node that did not answer and each pool whose
// owner did not.
func printMissing(out io.Writer, dumps []explain.NodeDump, pools []poolView) error {
	for _, d := range dumps {
		if d.Err == "" {
			continue
		}
		if _, err := fmt.Fprintf(out, "missing: node %s: %s\n", d.Node, d.Err); err != nil {
			return outputError(err)
		}
	}
	for _, p := range pools {
		if p.Dump != nil {
			continue
		}
		if _, err := fmt.Fprintf(out, "missing: pool %s: no node that answered owns it; its owner may be %s\n", p.Pool, p.Owner); err != nil {
			return outputError(err)
		}
	}
	return nil
}

// gateClass is a class of submissions at the gate of one node: those of an account at
// one priority of a pool.
type gateClass struct {
	Node     string `json:"node"`
	Pool     string `json:"pool"`
	Priority int    `json:"priority"`
	Account  string `json:"account"`
	// Admit is the fraction of submissions that the node forwards.
	Admit       float64 `json:"admit"`
	NoticeAgeMs int64   `json:"age_ms"`
}

// gateClasses returns the classes at the gates of all nodes. A gate that can't be
// decoded counts as empty: its format may be that of another version.
func gateClasses(dumps []explain.NodeDump) []gateClass {
	var all []gateClass
	for _, d := range dumps {
		var section struct {
			Classes []gateClass `json:"classes"`
		}
		if json.Unmarshal(d.Gate, &section.Classes) != nil {
			_ = json.Unmarshal(d.Gate, &section)
		}
		for _, g := range section.Classes {
			g.Node = d.Node
			all = append(all, g)
		}
	}
	return all
}

// gatesOf returns the selected classes that are held back.
func gatesOf(all []gateClass, selected func(gateClass) bool) []gateClass {
	var out []gateClass
	for _, g := range all {
		if g.Admit < 1 && selected(g) {
			out = append(out, g)
		}
	}
	return out
}

// gatesText describes classes that are held back: their number, the lowest fraction
// that a node forwards, and whether the oldest notice is old.
func gatesText(held []gateClass) string {
	if len(held) == 0 {
		return "open"
	}
	admit, ageMs := 1.0, int64(0)
	for _, g := range held {
		admit, ageMs = min(admit, g.Admit), max(ageMs, g.NoticeAgeMs)
	}
	text := fmt.Sprintf("%d, admit %.2f", len(held), admit)
	if ageMs > oldAfterMs {
		text += ", " + ageText(ageMs)
	}
	return text
}

// ageText returns an age and marks it if it is old.
func ageText(ms int64) string {
	if ms > oldAfterMs {
		return fmt.Sprintf("%d ms, old", ms)
	}
	return fmt.Sprintf("%d ms", ms)
}

// rate returns a count as a rate per second.
func rate(n int, windowMs int64) string {
	return fmt.Sprintf("%.1f", float64(n)*1000/float64(max(1, windowMs)))
}

func sum(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// reasonsText lists the reasons of refusals with their counts.
func reasonsText(refused map[string]int) string {
	if len(refused) == 0 {
		return "-"
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(refused)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, refused[reason]))
	}
	return strings.Join(parts, ", ")
}

func coreSeconds(coreMs int64) float64 { return float64(coreMs) / 1000 }
