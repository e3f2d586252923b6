package executor

// EventKind is the kind of an event and its message in the log.
type EventKind string

// Event is a decision or an observation of a Core, for the log.
type Event struct {
	Kind     EventKind
	Job      string
	Task     string
	Run      int
	Endpoint string
	Reason   string
	// AgeMs is the age of the information that the decision is based on.
	AgeMs int64
	// StartedMs is when the endpoint's incarnation started, if relevant.
	StartedMs int64
	// Account and Queue are the client account and the queue, if relevant.
	Account, Queue string
	// WaitMs and SlackMs are the predicted wait that a refusal is based on, and the wait that the
	// job's objective would have allowed.
	WaitMs, SlackMs int64
	// PredictedMs and ActualMs are the predicted and the actual time from acceptance to a job's end.
	PredictedMs, ActualMs int64
}

// Kinds of events.
const (
	EventAccepted         EventKind = "job accepted"
	EventRefused          EventKind = "job refused"
	EventEnded            EventKind = "job ended"
	EventPlaced           EventKind = "task placed"
	EventTaskEnd          EventKind = "task ended"
	EventLost             EventKind = "task lost"
	EventIncarnationEnded EventKind = "endpoint gone"
	EventStop             EventKind = "task stop ordered"
	EventStopWithdrawn    EventKind = "task stop withdrawn"
	EventQuarantined      EventKind = "endpoint quarantined"
	EventUnknownRun       EventKind = "unknown run stopped"
	EventFenced           EventKind = "fenced by a newer epoch"
	EventRestored         EventKind = "jobs restored"
	EventVacating         EventKind = "endpoint vacating"
	EventWaits            EventKind = "task waits"
	EventAdvised          EventKind = "step advised"
	EventReserved         EventKind = "endpoint kept for a task"
	EventSlow             EventKind = "endpoint slow"
	EventSpeedRecovered   EventKind = "endpoint no longer slow"
	EventWithheld         EventKind = "end not acknowledged"
	EventVoid             EventKind = "end void"
	EventStartsLimited    EventKind = "starts paced"
	// EventCrashed: an incarnation ended while a task's run was on it, which had run for AgeMs.
	EventCrashed EventKind = "endpoint ended under task"
	// EventPoisonTask: a task is not retried any more because its endpoints crash.
	EventPoisonTask EventKind = "task given up"
	// EventRestarted: another incarnation answers under an endpoint's id.
	EventRestarted EventKind = "endpoint restarted"
	// EventEarlierClockLease: an endpoint may have granted the longest lease to a time of an earlier
	// incarnation's clock.
	EventEarlierClockLease EventKind = "lease by an earlier clock"
)

func (c *Core) event(e Event) { c.events = append(c.events, e) }

// TakeEvents returns and clears the events since the last call.
func (c *Core) TakeEvents() []Event {
	out := c.events
	c.events = nil
	return out
}
