package disruption_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin/disruption"
)

// states is what the endpoints of a test see of its tasks.
type states map[string]disruption.State

func (s states) of(task string) disruption.State { return s[task] }

// watched returns a check of a step of three tasks at work, one of which may be away, at the given time.
func watched(now time.Duration) (*disruption.Check, states) {
	var c disruption.Check
	s := states{"a": disruption.AtWork, "b": disruption.AtWork, "c": disruption.AtWork}
	c.Watch(now, 1, []string{"a", "b", "c"})
	c.Observe(now, s.of)
	return &c, s
}

// Guards against a check that finds no violation: of a task that an order has ended and that is not at
// work again, of one that is away for long, and of one whose lease has expired unnoticed.
func TestAnOrderBeyondTheBudgetIsAViolation(t *testing.T) {
	const now = time.Minute
	for _, c := range []struct {
		name    string
		happens func(*disruption.Check, states)
		after   time.Duration
		want    bool
	}{
		{"all at work", func(*disruption.Check, states) {}, time.Hour, false},
		{"ended by an order", func(c *disruption.Check, s states) { c.Stop(now, "b", false); s["b"] = disruption.Away }, 0, true},
		{"ended by an exempt order", func(c *disruption.Check, s states) { c.Stop(now, "b", true); s["b"] = disruption.Away }, 0, true},
		{"at work again after an order", func(c *disruption.Check, _ states) { c.Stop(now, "b", false) }, 0, false},
		{"lost just now", func(c *disruption.Check, s states) { c.Lost(now, "b"); s["b"] = disruption.Away }, disruption.Notice - 1, false},
		{"lost long ago", func(c *disruption.Check, s states) { c.Lost(now, "b"); s["b"] = disruption.Away }, disruption.Notice, true},
		{"lost just now, as observed", func(c *disruption.Check, s states) { s["b"] = disruption.Away; c.Observe(now, s.of) }, disruption.Notice - 1, false},
		{"lost long ago, as observed", func(c *disruption.Check, s states) { s["b"] = disruption.Away; c.Observe(now, s.of) }, disruption.Notice, true},
		{"lease expired", func(_ *disruption.Check, s states) { s["b"] = disruption.Expired }, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			check, s := watched(now)
			c.happens(check, s)
			check.Observe(now+c.after, s.of)
			g.Expect(check.Stop(now+c.after, "a", true)).To(BeEmpty(), "an exempt order")
			g.Expect(check.Stop(now+c.after, "a", false) != "").To(Equal(c.want))
		})
	}
}

// Guards against a loss that excuses an earlier order: a task that an order has ended counts until it is
// at work again, also if the run that replaces it is lost while it starts up.
func TestATaskEndedByAnOrderCountsUntilItIsAtWorkAgain(t *testing.T) {
	g := NewWithT(t)
	c, s := watched(0)
	c.Stop(0, "b", false)
	s["b"] = disruption.Away
	c.Observe(time.Second, s.of)
	g.Expect(c.NotAtWork()).To(Equal([]string{"b"}))
	g.Expect(c.Stop(time.Second, "a", false)).NotTo(BeEmpty())
}

// Guards against steps that count against each other's budgets.
func TestStepsHaveSeparateBudgets(t *testing.T) {
	g := NewWithT(t)
	c, s := watched(0)
	c.Watch(0, 1, []string{"x", "y"})
	s["x"], s["y"] = disruption.AtWork, disruption.Away
	c.Observe(time.Hour, s.of)
	g.Expect(c.Stop(time.Hour, "a", false)).To(BeEmpty())
	g.Expect(c.SameStep("a", "b")).To(BeTrue())
	g.Expect(c.SameStep("a", "x")).To(BeFalse())
	g.Expect(c.SameStep("z", "z")).To(BeFalse())
}
