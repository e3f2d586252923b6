package pools

import "cyclamenwheel/internal/fold"

// Reasons for rejecting records about instances.
const (
	// ReasonUnknownPool rejects a move to a pool that is not in the manifest in
	// force.
	ReasonUnknownPool fold.Reason = "unknown_pool"
	// ReasonOtherOperation rejects a commit for an operation other than the one
	// in progress.
	ReasonOtherOperation fold.Reason = "other_operation"
	// ReasonOldFacts rejects facts from an older instance list than ones
	// already folded: a new planner with a lagging list would otherwise undo
	// what its predecessor recorded, such as a boot id after a reboot.
	ReasonOldFacts fold.Reason = "old_facts"
	// ReasonNothingToDo rejects a record of which no item has an effect.
	ReasonNothingToDo fold.Reason = "nothing_to_do"
)

// Seen reports instances that the platform lists as live: new ones are added,
// normally as spares, and ones that were down return. Written by the planner.
type Seen struct {
	// List is the version of the instance list that was read.
	List  uint64 `cbor:"9,keyasint"`
	Facts []Fact `cbor:"1,keyasint"`
}

// Fact is the platform's description of one live instance.
type Fact struct {
	ID           string  `cbor:"1,keyasint"`
	BootID       string  `cbor:"2,keyasint"`
	Zone         string  `cbor:"3,keyasint"`
	Rack         string  `cbor:"4,keyasint"`
	Addr         string  `cbor:"5,keyasint"`
	Cores        float64 `cbor:"6,keyasint"`
	MemoryMB     int     `cbor:"7,keyasint"`
	Accelerators int     `cbor:"8,keyasint"`
	Slots        int     `cbor:"9,keyasint"`
	Connections  int     `cbor:"10,keyasint"`
	// Operation is the id of the last operation that the platform completed on
	// the instance.
	Operation string `cbor:"11,keyasint,omitempty"`
	// Pool is the instance's pool according to the platform. It is used only
	// for an instance that is not in the folded state: after the permanent loss
	// of a log, instances are adopted in their pools rather than moved.
	Pool string `cbor:"12,keyasint,omitempty"`
}

// Down reports instances that the platform no longer lists as live, other than
// by an operation of the planner. Written by the planner.
type Down struct {
	// List is the version of the instance list that was read.
	List      uint64   `cbor:"9,keyasint"`
	Instances []string `cbor:"1,keyasint"`
	Why       string   `cbor:"2,keyasint"`
}

// Forget removes instances that are down and no longer on the platform's list.
type Forget struct {
	// List is the version of the instance list that was read.
	List      uint64   `cbor:"9,keyasint"`
	Instances []string `cbor:"1,keyasint"`
}

// Begin starts moves and drains. Each item is accepted or rejected on its own;
// the record is accepted if any item is.
type Begin struct {
	Items []BeginItem `cbor:"1,keyasint"`
}

// BeginItem starts one instance's move (To differs from its pool) or its drain
// for maintenance (To equals its pool).
type BeginItem struct {
	Instance string `cbor:"1,keyasint"`
	// From is the instance's pool in the plan. The item is rejected if the
	// instance has changed pool since.
	From string `cbor:"2,keyasint"`
	To   string `cbor:"3,keyasint"`
	// Operation is the id under which the platform is asked to act.
	Operation string `cbor:"4,keyasint"`
	// Revision is the maintenance revision to install during the operation.
	Revision int    `cbor:"5,keyasint"`
	Why      string `cbor:"6,keyasint"`
}

// Commit ends moves and drains that the platform has completed.
type Commit struct {
	// List is the version of the instance list that was read.
	List  uint64       `cbor:"9,keyasint"`
	Items []CommitItem `cbor:"1,keyasint"`
}

// CommitItem ends one operation; BootID and Addr are the values after the
// reboot.
type CommitItem struct {
	Instance  string `cbor:"1,keyasint"`
	Operation string `cbor:"2,keyasint"`
	BootID    string `cbor:"3,keyasint"`
	Addr      string `cbor:"4,keyasint"`
}
