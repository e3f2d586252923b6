package membership

// Ack is the state that a member reported with its last heartbeat.
type Ack struct {
	BootID string
	// Offset is cumulative: the member has acted on every record up to it.
	Offset uint64
	// Busy lists instances that get no new work but still have requests of this member in
	// flight.
	Busy []string
}

// Waiting is a member that a handover still waits for, and why.
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

// Barrier returns the entries that may still send work to instance, whose assignment ended at
// offset since. The successor may start once it is empty.
//
// There is no timeout: an entry that hangs could resume and send work to an instance that
// already serves another pool. It counts until it acknowledges, or until the platform lists
// it as gone, which removes it from the members.
func (s *State) Barrier(acks map[string]Ack, instance string, since uint64) []Waiting {
	var out []Waiting
	for _, m := range s.WithRole(RoleEntry) {
		if cause := waitCause(m, acks[m.ID], instance, since); cause != "" {
			out = append(out, Waiting{Member: m.ID, Cause: cause})
		}
	}
	return out
}

func waitCause(m Member, ack Ack, instance string, since uint64) string {
	switch {
	case m.Joined > since && ack.BootID != m.BootID:
		// It applied the record before it became ready, so it never used the instance.
		return ""
	case ack.BootID != m.BootID:
		return CauseNotHeard
	case ack.Offset < since:
		return CauseNotAcked
	}
	for _, id := range ack.Busy {
		if id == instance {
			return CauseInFlight
		}
	}
	return ""
}
