package planlease

import "time"

// Timing of the lease. All of it is measured on a clock that goes on while the
// machine is suspended.
type Timing struct {
	// TTL is how long a challenger waits without having seen a renewal.
	TTL time.Duration
	// RenewEvery is the holder's period; a third of TTL leaves room for two
	// lost renewals.
	RenewEvery time.Duration
	// Stagger is added per rank to a challenger's wait, so that of many
	// challengers one appends a claim rather than all.
	Stagger time.Duration
}

// Action is what the contender should do now.
type Action uint8

// Actions of a contender.
const (
	ActWait Action = iota
	ActClaim
	ActRenew
)

// Contender decides when one process claims or renews the lease. It holds what
// this process saw on its own clock; the fold's State holds who has the lease.
type Contender struct {
	self, boot string
	timing     Timing

	seenRenewed uint64        // newest State.Renewed seen
	seenAt      time.Duration // own clock when it was first seen
	sentAt      time.Duration // own clock before our newest claim or renewal was sent
	confirmed   time.Duration // sentAt of the newest one that the fold accepted
	holds       uint64        // epoch we hold, 0 for none
	pending     bool          // a claim or renewal is on its way
}

// NewContender returns a contender for process self at boot.
func NewContender(self, boot string, timing Timing) *Contender {
	return &Contender{self: self, boot: boot, timing: timing}
}

// Observe takes the folded lease at own-clock time now.
func (c *Contender) Observe(s State, now time.Duration) {
	if s.Renewed != c.seenRenewed || c.seenAt == 0 {
		c.seenRenewed, c.seenAt = s.Renewed, now
	}
	mine := s.Holder == c.self && s.BootID == c.boot && !s.Released
	if !mine {
		c.holds = 0
		return
	}
	c.holds = s.Epoch
}

// Sent notes that a claim or renewal is about to be appended at now.
func (c *Contender) Sent(now time.Duration) { c.sentAt, c.pending = now, true }

// Settled notes that the record announced by Sent was folded or given up.
func (c *Contender) Settled(accepted bool) {
	if accepted {
		// Validity counts from before the append was sent: a challenger sees
		// the record later than that, hence waits longer than we act.
		c.confirmed = c.sentAt
	}
	c.pending = false
}

// Decide tells what to do at now, given the folded lease; rank is this
// process's place among the challengers.
func (c *Contender) Decide(s State, rank int, now time.Duration) Action {
	c.Observe(s, now)
	if c.pending {
		return ActWait
	}
	if c.holds != 0 {
		if now-c.sentAt >= c.timing.RenewEvery {
			return ActRenew
		}
		return ActWait
	}
	wait := c.timing.TTL + time.Duration(rank)*c.timing.Stagger
	if s.Epoch == 0 || s.Released {
		wait = time.Duration(rank) * c.timing.Stagger
	}
	if now-c.seenAt >= wait {
		return ActClaim
	}
	return ActWait
}

// Holds reports the epoch under which this process may act at now, or 0. It is
// asked before every act: a process that was frozen past its TTL finds the
// lease lapsed by its own clock before it has read the successor's claim.
func (c *Contender) Holds(now time.Duration) uint64 {
	if c.holds == 0 || now-c.confirmed >= c.timing.TTL {
		return 0
	}
	return c.holds
}

// Retire makes the contender hold and want nothing any more: its process is
// about to release the lease and to end.
func (c *Contender) Retire() { c.holds, c.pending = 0, true }
