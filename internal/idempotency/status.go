package idempotency

import (
	"context"
	"time"
)

// drainPoll is how often Drain checks whether everything is handed over.
const drainPoll = 20 * time.Millisecond

// ServiceStatus is the state of a service, for dumps.
type ServiceStatus struct {
	View View `json:"view"`
	// Journalling, Granted and Releasing count this owner's active keys by phase.
	Journalling int `json:"journalling"`
	Granted     int `json:"granted"`
	Releasing   int `json:"releasing"`
	Waiters     int `json:"waiters"`
	// Held and Witness count the claims that are not in the log yet, as owner and as
	// witness.
	Held    int `json:"held"`
	Witness int `json:"witness"`
	// QueuedClaims and QueuedFinishes wait to be appended. Awaiting counts the
	// records that have not been read back.
	QueuedClaims   int `json:"queued_claims"`
	QueuedFinishes int `json:"queued_finishes"`
	Awaiting       int `json:"awaiting"`
	// LogLate is set while claims go to witnesses. CaughtUp is set once this owner has
	// caught up with the log and may grant through a witness.
	LogLate  bool `json:"log_late"`
	CaughtUp bool `json:"proven"`
	// Reports counts the outcomes being delivered to owners.
	Reports     int `json:"reports"`
	Answers     int `json:"answers"`
	AnswerBytes int `json:"answer_bytes"`
}

func (s *Service) Status() ServiceStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.ledger.status()
	st.Reports = s.reports.len()
	return st
}

func (l *Ledger) status() ServiceStatus {
	st := ServiceStatus{
		View: l.view, Waiters: len(l.waiterKeys), Held: len(l.held.asOwner), Witness: len(l.held.asWitness),
		QueuedClaims:   len(l.journal.heldQueue) + len(l.journal.claimQueue),
		QueuedFinishes: len(l.journal.finishQueue), Awaiting: len(l.journal.unread),
		LogLate: l.held.logLate, CaughtUp: l.caughtUp,
		Answers: l.answers.lru.Len(), AnswerBytes: l.answers.bytes,
	}
	for _, k := range l.activeKeys {
		switch k.phase {
		case phaseJournalling:
			st.Journalling++
		case phaseGranted:
			st.Granted++
		case phaseReleasing:
			st.Releasing++
		}
	}
	return st
}

// Drain waits until everything is handed over, for a graceful shutdown: owners have
// received all outcomes, and the log has every record of this process. It does not
// wait for requests in flight.
func (s *Service) Drain(ctx context.Context) error {
	for {
		st := s.Status()
		remaining := &DrainError{
			Finishes: st.Reports + st.QueuedFinishes, Claims: st.QueuedClaims + st.Awaiting, Held: st.Held + st.Witness,
		}
		if *remaining == (DrainError{}) {
			return nil
		}
		if !sleep(ctx, drainPoll) {
			return remaining
		}
	}
}
