package admission

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// meterHalfWindow is half of the window over which a Meter counts.
	meterHalfWindow = 500 * time.Millisecond
	// admitHeadroom is how much more than it accepts an owner asks for, so that it can prefer callers
	// that return over newcomers.
	admitHeadroom = 1.5
	// minAdmit keeps notices coming from every node that receives submissions of a class.
	minAdmit = 0.05
)

// MeterClass identifies a class of submissions at the owner of a pool.
type MeterClass struct {
	Priority int
	Account  string
}

// Meter counts what is offered to the owner of a pool, by class, and derives the notices for the gates
// at the nodes. It is not safe for concurrent use.
type Meter struct {
	epoch   int64
	version uint64
	classes *simplelru.LRU[MeterClass, *meterWindow]
}

// meterCounts are the submissions of one half window.
type meterCounts struct{ offered, accepted, refused int }

// meterWindow holds the counts of the current and the previous half window of a class.
type meterWindow struct {
	startedAt         time.Duration
	current, previous meterCounts
	// wait and retryAfter are those of the last refusal.
	wait, retryAfter time.Duration
}

// NewMeter returns a meter for the owner of a pool under an epoch.
func NewMeter(epoch int64) *Meter {
	return &Meter{epoch: epoch, classes: newClasses[MeterClass, *meterWindow]()}
}

// ObserveAccepted counts a submission that the owner accepted.
func (m *Meter) ObserveAccepted(now time.Duration, class MeterClass) {
	counts := &m.window(now, class).current
	counts.offered++
	counts.accepted++
}

// ObserveRefused counts a submission that the owner refused for lack of capacity. wait is the predicted
// wait of the job, retryAfter when its caller may retry.
func (m *Meter) ObserveRefused(now time.Duration, class MeterClass, wait, retryAfter time.Duration) {
	w := m.window(now, class)
	w.current.offered++
	w.current.refused++
	w.wait, w.retryAfter = wait, retryAfter
}

// ObserveRefusedAtNode counts submissions that a node refused, as its next call reports.
func (m *Meter) ObserveRefusedAtNode(now time.Duration, class MeterClass, n int) {
	if n > 0 {
		m.window(now, class).current.offered += n
	}
}

// Notice returns the next notice of a class.
func (m *Meter) Notice(now time.Duration, class MeterClass) Notice {
	m.version++
	n := Notice{Epoch: m.epoch, Version: m.version, Admit: 1}
	if w := m.window(now, class); w.refused() {
		n.Admit, n.WaitMs, n.RetryAfterMs = w.admit(), w.wait.Milliseconds(), w.retryAfter.Milliseconds()
	}
	return n
}

func (m *Meter) window(now time.Duration, class MeterClass) *meterWindow {
	w, known := m.classes.Get(class)
	if !known {
		w = &meterWindow{startedAt: now}
		m.classes.Add(class, w)
	}
	w.advance(now)
	return w
}

// advance begins the half window that contains now.
func (w *meterWindow) advance(now time.Duration) {
	elapsed := now - w.startedAt
	if elapsed < meterHalfWindow {
		return
	}
	w.previous = w.current
	if elapsed >= 2*meterHalfWindow {
		w.previous = meterCounts{}
	}
	w.current = meterCounts{}
	w.startedAt = now - elapsed%meterHalfWindow
}

// refused reports whether the owner has refused submissions of the class within the window. Refusals at
// nodes do not count: they follow from the notices.
func (w *meterWindow) refused() bool { return w.current.refused+w.previous.refused > 0 }

// admit returns the fraction of a class's submissions that nodes are to forward while it is refused
// some.
func (w *meterWindow) admit() float64 {
	accepted, offered := w.current.accepted+w.previous.accepted, w.current.offered+w.previous.offered
	return min(1, max(minAdmit, admitHeadroom*float64(accepted)/float64(offered)))
}
