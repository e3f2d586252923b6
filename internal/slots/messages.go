// Package slots divides the slots of each endpoint among the entries. It is a
// pure state machine: its inputs are membership, instances, demand, what is in
// flight, and what peers say on their heartbeats.
//
// Load: the balancer in front of the entries spreads callers unevenly, one
// entry may get half of them. Harm prevented: entries that each look only at
// their own requests overrun an endpoint's slots together; entries that each
// keep to a fixed share refuse callers while slots lie idle elsewhere.
//
// Every entry has a static share of each endpoint and lends what it does not
// need. Messages state levels, not steps, so that one that is lost, late,
// repeated or out of order does no harm: a lender counts a slot as gone before
// it offers it, and as back only once the borrower has confirmed that.
package slots

// PeerShare is what one entry tells another on each heartbeat.
type PeerShare struct {
	// To is the entry that it is meant for.
	To string `cbor:"1,keyasint"`
	// Membership is the newest membership version that the sender knows to be
	// acknowledged by all. Loans hold within one version only.
	Membership uint64 `cbor:"2,keyasint"`
	// Demand is the number of requests in flight and waiting, by pool.
	Demand map[string]int `cbor:"3,keyasint,omitempty"`
	// Lends are all loans that the sender has ever made to the receiver within
	// this membership version, those taken back included.
	Lends []Lend `cbor:"4,keyasint,omitempty"`
	// Held answers the receiver's own Lends.
	Held []Held `cbor:"5,keyasint,omitempty"`
}

// Lend is the level of one loan.
type Lend struct {
	// Version grows with each change of the level.
	Version  uint64 `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	// Slots that the borrower may use.
	Slots int `cbor:"3,keyasint"`
}

// Held confirms a level.
type Held struct {
	// Version of the Lend that the borrower goes by.
	Version  uint64 `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	// Slots that the borrower still uses or may use: more than was lent while
	// requests on slots that were called back are still in flight. For one
	// version it never grows.
	Slots int `cbor:"3,keyasint"`
}

// Instance is one endpoint's instance. The number of slots of an instance is
// taken as fixed while it serves.
type Instance struct {
	ID    string
	Slots int
}
