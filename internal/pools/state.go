// Package pools owns which pool an instance belongs to and whether it serves.
// Every change of an instance goes through one small state machine in the
// fold, so that an instance is in exactly one pool at every offset and no
// drain or move takes a service below its availability budget.
package pools

// Phase is where an instance stands in its state machine.
//
//	Serving --Begin--> Moving   --Commit--> Serving (in the new pool)
//	Serving --Begin--> Draining --Commit--> Serving (same pool)
//	any     --Down-->  Down     --Seen-->   Serving, or back to the operation
//	                                        that was in progress
type Phase uint8

// Phases of an instance.
const (
	PhaseServing Phase = iota + 1
	// PhaseMoving: leaves From, gets no new work, still belongs to From.
	PhaseMoving
	// PhaseDraining: under maintenance, gets no new work.
	PhaseDraining
	// PhaseDown: the platform lost it. It keeps its pool until it is assigned
	// anew or forgotten.
	PhaseDown
)

// Instance is what the fold knows of one instance of a worker.
type Instance struct {
	ID           string  `cbor:"1,keyasint" json:"id"`
	BootID       string  `cbor:"2,keyasint" json:"boot_id"`
	Zone         string  `cbor:"3,keyasint" json:"zone"`
	Rack         string  `cbor:"4,keyasint" json:"rack"`
	Addr         string  `cbor:"5,keyasint" json:"addr"`
	Cores        float64 `cbor:"6,keyasint" json:"cores"`
	MemoryMB     int     `cbor:"7,keyasint" json:"memory_mb"`
	Accelerators int     `cbor:"8,keyasint" json:"accelerators"`
	Slots        int     `cbor:"9,keyasint" json:"slots"`
	Connections  int     `cbor:"10,keyasint" json:"connections"`
	// Pool is the one pool it belongs to; empty for a spare.
	Pool  string `cbor:"11,keyasint" json:"pool"`
	Phase Phase  `cbor:"12,keyasint" json:"phase"`
	// Target is the pool a move leads to, while PhaseMoving.
	Target string `cbor:"13,keyasint,omitempty" json:"target,omitempty"`
	// Operation is the id of the move or drain in progress; the platform's
	// operation carries the same id.
	Operation string `cbor:"14,keyasint,omitempty" json:"operation,omitempty"`
	// Since is the offset of the record that began the present phase. Entries
	// acknowledge it before the platform is asked to act.
	Since uint64 `cbor:"15,keyasint" json:"since"`
	// Revision is the maintenance revision it has, TargetRevision the one that
	// the operation in progress installs.
	Revision       int `cbor:"16,keyasint" json:"revision"`
	TargetRevision int `cbor:"18,keyasint,omitempty" json:"target_revision,omitempty"`
	// Why is the reason given by the planner for the last change.
	Why string `cbor:"17,keyasint,omitempty" json:"why,omitempty"`
}

// String returns the phase's name for people and dumps.
func (p Phase) String() string {
	switch p {
	case PhaseServing:
		return "serving"
	case PhaseMoving:
		return "moving"
	case PhaseDraining:
		return "draining"
	case PhaseDown:
		return "down"
	}
	return "unknown"
}

// MarshalText makes dumps readable.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// State is the folded instances.
type State struct {
	Instances map[string]*Instance `cbor:"1,keyasint" json:"instances"`
	// Version is the offset of the newest change; readers rebuild what they
	// derive from the instances only when it moves.
	Version uint64 `cbor:"2,keyasint" json:"version"`
	// List is the newest version of the instance list that facts were taken
	// from.
	List uint64 `cbor:"3,keyasint" json:"list_version"`

	// available counts serving instances per pool. It is derived, and kept so
	// that a budget check costs the same at 50 and at 11,000 instances.
	available map[string]int
}
