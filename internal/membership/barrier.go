package membership

// Ack is what a member last said of itself, carried on its heartbeat.
type Ack struct {
	BootID string
	// Offset is cumulative: the member has acted on every record up to it.
	Offset uint64
	// Busy lists instances that take no new work and still have requests of
	// this member in flight.
	Busy []string
}

// Waiting names the members that a handover still waits for, and why.
type Waiting struct {
	Member string `json:"member"`
	// Cause is "not_heard", "not_acknowledged" or "requests_in_flight".
	Cause string `json:"cause"`
}

// Causes of waiting.
const (
	CauseNotHeard = "not_heard"
	CauseNotAcked = "not_acknowledged"
	CauseInFlight = "requests_in_flight"
)

// Barrier reports which entries have yet to let go of instance, whose right to
// work ended at offset since. It is empty once the successor may start.
//
// No timer decides: an entry that hangs could wake and send work to an
// instance that already serves another pool. It counts until it acknowledges
// or the platform lists it as gone, which removes it from the members.
func (s *State) Barrier(acks map[string]Ack, instance string, since uint64) []Waiting {
	var out []Waiting
	for _, m := range s.WithRole(RoleEntry) {
		if cause := waitingFor(m, acks[m.ID], instance, since); cause != "" {
			out = append(out, Waiting{Member: m.ID, Cause: cause})
		}
	}
	return out
}

func waitingFor(m Member, a Ack, instance string, since uint64) string {
	switch {
	case m.Joined > since && a.BootID != m.BootID:
		// It folded the record before it became ready, so it never held the
		// instance: nothing to wait for.
		return ""
	case a.BootID != m.BootID:
		return CauseNotHeard
	case a.Offset < since:
		return CauseNotAcked
	}
	for _, id := range a.Busy {
		if id == instance {
			return CauseInFlight
		}
	}
	return ""
}
