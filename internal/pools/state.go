// Package pools decides which pool each instance belongs to, keeps the state of
// all instances and computes how many spares the fleet needs. Decide and Spare
// work on the manifest and the instances; State folds the resulting records
// through one state machine, so that an instance is in exactly one pool at
// every offset and no drain or move takes a service below its availability
// budget. The planner calls Decide and Spare in its rounds, and package
// fleetlog applies the records to State.
package pools

// Phase is the state of an instance in its state machine.
//
//	Serving --Begin--> Moving   --Commit--> Serving (in the new pool)
//	Serving --Begin--> Draining --Commit--> Serving (same pool)
//	any     --Down-->  Down     --Seen-->   Serving, or back to the operation
//	                                        that was in progress
type Phase uint8

// Phases of an instance.
const (
	PhaseServing Phase = iota + 1
	// PhaseMoving: moving to Target. The instance gets no new work and still
	// belongs to Pool.
	PhaseMoving
	// PhaseDraining: draining for maintenance. The instance gets no new work.
	PhaseDraining
	// PhaseDown: lost by the platform. The instance keeps its pool until an
	// operation assigns it another or it is forgotten.
	PhaseDown
)

// Instance is the folded state of one worker instance.
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
	// Pool is the instance's pool; empty for a spare.
	Pool  string `cbor:"11,keyasint" json:"pool"`
	Phase Phase  `cbor:"12,keyasint" json:"phase"`
	// Target is the target pool of the move or drain in progress.
	Target string `cbor:"13,keyasint,omitempty" json:"target,omitempty"`
	// Operation is the id of the move or drain in progress; the platform's
	// operation has the same id.
	Operation string `cbor:"14,keyasint,omitempty" json:"operation,omitempty"`
	// Since is the offset of the record that began the present phase. The
	// entries acknowledge it before the platform is asked to act.
	Since uint64 `cbor:"15,keyasint" json:"since"`
	// Revision is the installed maintenance revision, TargetRevision the one
	// that the operation in progress installs.
	Revision       int `cbor:"16,keyasint" json:"revision"`
	TargetRevision int `cbor:"18,keyasint,omitempty" json:"target_revision,omitempty"`
	// Why is the planner's reason for the last change.
	Why string `cbor:"17,keyasint,omitempty" json:"why,omitempty"`
}

// String returns the name of the phase, as used in dumps.
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

// MarshalText encodes a phase by its name in dumps.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// State is the folded state of all instances.
type State struct {
	Instances map[string]*Instance `cbor:"1,keyasint" json:"instances"`
	// Version is the offset of the latest change; readers rebuild data derived
	// from the instances only when it changes.
	Version uint64 `cbor:"2,keyasint" json:"version"`
	// List is the latest version of the instance list from which facts were
	// folded.
	List uint64 `cbor:"3,keyasint" json:"list_version"`

	// available counts serving instances per pool. It is derived, and kept so
	// that a budget check costs the same at 50 and at 11,000 instances.
	available map[string]int
}
