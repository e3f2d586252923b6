package pools

import "cyclamenwheel/internal/fold"

// Reasons for rejecting records about instances.
const (
	// ReasonUnknownPool marks a move into a pool that the manifest in force
	// does not have.
	ReasonUnknownPool fold.Reason = "unknown_pool"
	// ReasonOtherOperation marks a commit that names an operation other than
	// the one in progress.
	ReasonOtherOperation fold.Reason = "other_operation"
	// ReasonOldFacts marks facts taken from an older instance list than ones
	// already folded: a new planner whose list lags would otherwise undo what
	// its predecessor saw, such as a boot id after a reboot.
	ReasonOldFacts fold.Reason = "old_facts"
	// ReasonNothingToDo marks a batch in which no item took effect.
	ReasonNothingToDo fold.Reason = "nothing_to_do"
)

// Seen reports instances that the platform lists as live: new ones become
// spares, ones that were down come back. Written by the planner.
type Seen struct {
	// List is the version of the instance list that was read.
	List  uint64 `cbor:"9,keyasint"`
	Facts []Fact `cbor:"1,keyasint"`
}

// Fact is what the platform's list says of one live instance.
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
	// Operation is the last operation that the platform completed on it.
	Operation string `cbor:"11,keyasint,omitempty"`
	// Pool is where the platform has it. It counts only for an instance that
	// the fold does not know yet: after a log lost for good, instances are
	// adopted where they are rather than moved.
	Pool string `cbor:"12,keyasint,omitempty"`
}

// Down reports instances that the platform no longer lists as live though no
// operation of ours is the cause. Written by the planner.
type Down struct {
	// List is the version of the instance list that was read.
	List      uint64   `cbor:"9,keyasint"`
	Instances []string `cbor:"1,keyasint"`
	Why       string   `cbor:"2,keyasint"`
}

// Forget drops instances that are down and gone from the platform's list.
type Forget struct {
	// List is the version of the instance list that was read.
	List      uint64   `cbor:"9,keyasint"`
	Instances []string `cbor:"1,keyasint"`
}

// Begin starts moves and drains. Every item is judged by itself; the record is
// accepted if any item is.
type Begin struct {
	Items []BeginItem `cbor:"1,keyasint"`
}

// BeginItem starts one instance's move (To differs from its pool) or drain for
// maintenance (To equals its pool).
type BeginItem struct {
	Instance string `cbor:"1,keyasint"`
	// From guards against a plan made on an older state.
	From string `cbor:"2,keyasint"`
	To   string `cbor:"3,keyasint"`
	// Operation is the id under which the platform will be asked.
	Operation string `cbor:"4,keyasint"`
	// Revision is the maintenance revision to install on the way.
	Revision int    `cbor:"5,keyasint"`
	Why      string `cbor:"6,keyasint"`
}

// Commit ends moves and drains that the platform has completed.
type Commit struct {
	// List is the version of the instance list that was read.
	List  uint64       `cbor:"9,keyasint"`
	Items []CommitItem `cbor:"1,keyasint"`
}

// CommitItem ends one operation; BootID and Addr are those after the reboot.
type CommitItem struct {
	Instance  string `cbor:"1,keyasint"`
	Operation string `cbor:"2,keyasint"`
	BootID    string `cbor:"3,keyasint"`
	Addr      string `cbor:"4,keyasint"`
}
