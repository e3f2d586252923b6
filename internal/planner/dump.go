package planner

import (
	"cyclamenwheel/internal/maintenance"
	"cyclamenwheel/internal/placement"
	"cyclamenwheel/internal/pools"
)

// View is the planner's latest decisions; it is empty where another process
// holds the lease.
type View struct {
	Holds    bool                 `json:"holds_lease"`
	Progress []Progress           `json:"operations"`
	Moves    pools.Decision       `json:"moves"`
	Spare    pools.SpareNeed      `json:"spare"`
	Waves    maintenance.Decision `json:"waves"`
	Tasks    placement.Output     `json:"tasks"`
}

// view must be called on the node's loop. Decisions are never modified after
// they are made, so the copy may be read by other goroutines.
func (p *Planner) view() View {
	return View{
		Holds: p.contender.Holds(p.node.Now()) != 0, Progress: p.progress,
		Moves: p.moves, Spare: p.spare, Waves: p.waves, Tasks: p.tasks.lastOutput,
	}
}

// Dump returns the View for the state dump.
func (p *Planner) Dump() any {
	var v View
	p.node.Do(func() { v = p.view() })
	return v
}
