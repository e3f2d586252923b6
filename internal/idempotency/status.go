package idempotency

import (
	"context"
	"time"
)

// drainPoll is how often Drain looks whether all is handed over.
const drainPoll = 20 * time.Millisecond

// ServiceStatus is the state of a service, for dumps.
type ServiceStatus struct {
	View View `json:"view"`
	// Keys are those in motion at this owner, by what they wait for.
	Journalling int `json:"journalling"`
	Granted     int `json:"granted"`
	Releasing   int `json:"releasing"`
	Waiters     int `json:"waiters"`
	// Held and Witness are claims that the log has not: as owner, as witness.
	Held    int `json:"held"`
	Witness int `json:"witness"`
	// QueuedClaims and QueuedFinishes wait for an append, Awaiting are records
	// not yet read back.
	QueuedClaims   int `json:"queued_claims"`
	QueuedFinishes int `json:"queued_finishes"`
	Awaiting       int `json:"awaiting"`
	// LogLate tells that claims go to the witness; Proven that they may.
	LogLate bool `json:"log_late"`
	Proven  bool `json:"proven"`
	// Reports are outcomes on their way to other owners.
	Reports     int `json:"reports"`
	Answers     int `json:"answers"`
	AnswerBytes int `json:"answer_bytes"`
}

// Status returns the state.
func (s *Service) Status() ServiceStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.ledger.status()
	st.Reports = s.outbox.len()
	return st
}

func (l *Ledger) status() ServiceStatus {
	st := ServiceStatus{
		View: l.view, Waiters: len(l.waiters), Held: len(l.holder.own), Witness: len(l.holder.other),
		QueuedClaims:   len(l.journal.flush) + len(l.journal.queue),
		QueuedFinishes: len(l.journal.finishes), Awaiting: len(l.journal.awaiting),
		LogLate: l.holder.stalled, Proven: l.proven,
		Answers: l.done.lru.Len(), AnswerBytes: l.done.bytes,
	}
	for _, s := range l.slots {
		switch s.phase {
		case journalling:
			st.Journalling++
		case granted:
			st.Granted++
		case releasing:
			st.Releasing++
		}
	}
	return st
}

// Drain waits until nothing is left to hand over, for a graceful shutdown:
// outcomes are with their owners, and the log has what this process knows. It
// does not wait for requests in flight.
func (s *Service) Drain(ctx context.Context) error {
	for {
		st := s.Status()
		left := &DrainError{
			Finishes: st.Reports + st.QueuedFinishes, Claims: st.QueuedClaims + st.Awaiting, Held: st.Held + st.Witness,
		}
		if *left == (DrainError{}) {
			return nil
		}
		if !sleep(ctx, drainPoll) {
			return left
		}
	}
}
