// Package slots divides the slots of each endpoint among the entries: each
// entry has a static share of every endpoint and lends the slots that it does
// not need. It is a state machine whose inputs are the membership, the
// instances, the entry's demand and requests in flight, and the peers'
// heartbeat messages; it does no I/O. The entry's control loop (internal/entry)
// calls it once per heartbeat and applies the resulting limits to traffic;
// internal/measure runs it in measurements.
//
// Load: the load balancer in front of the entries distributes callers unevenly;
// one entry may get half of them. If each entry considered only its own
// requests, all of them together would exceed an endpoint's slots. With fixed
// shares, an entry would refuse callers while other entries' slots are idle.
//
// Messages carry levels and not increments, so lost, late, repeated or
// reordered messages do no harm: a lender stops using a slot before it offers
// it, and uses it again only after the borrower has confirmed its return.
package slots

// PeerShare is the message from one entry to another on each heartbeat.
type PeerShare struct {
	// To is the intended recipient.
	To string `cbor:"1,keyasint"`
	// Membership is the newest membership version that the sender knows to be
	// acknowledged by all. Loans are valid within one version only.
	Membership uint64 `cbor:"2,keyasint"`
	// Demand is the number of slots that the sender could use, by pool.
	Demand map[string]int `cbor:"3,keyasint,omitempty"`
	// Lends are all loans from the sender to the receiver within this
	// membership version, including those that have been recalled.
	Lends []LoanLevel `cbor:"4,keyasint,omitempty"`
	// Held confirms the receiver's own Lends.
	Held []LoanConfirmation `cbor:"5,keyasint,omitempty"`
}

// LoanLevel is the current level of one loan.
type LoanLevel struct {
	// Version increases with each change of the level.
	Version  uint64 `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	// Slots is the number of slots that the borrower may use.
	Slots int `cbor:"3,keyasint"`
}

// LoanConfirmation confirms the level of a loan.
type LoanConfirmation struct {
	// Version is the version of the LoanLevel that the borrower has adopted.
	Version  uint64 `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	// Slots is the number of slots that the borrower may still be using. It
	// exceeds the level while requests on recalled slots are in flight. For one
	// version it never grows.
	Slots int `cbor:"3,keyasint"`
}

// Instance is one endpoint's instance. Its number of slots is assumed to be
// constant while it serves.
type Instance struct {
	ID    string
	Slots int
}
