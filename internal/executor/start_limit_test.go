package executor

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a late start that can't be explained from the log and the dump: its task was
// decided in time and sent late because of the limit.
func TestStartLimitIsReported(t *testing.T) {
	g := NewWithT(t)
	c := New("pool", 1, Limits{}, 0)
	now := time.Second
	for range 72 {
		s := c.startLimiter.Acquire(now)
		now += 10 * time.Millisecond
		c.OrderDone(now, Order{Kind: OrderStart, slot: s}, OrderDone, Answer{})
	}
	g.Expect(c.TakeEvents()).To(BeEmpty(), "answers are fast")
	for range 72 {
		s := c.startLimiter.Acquire(now)
		now += 100 * time.Millisecond
		c.OrderDone(now, Order{Kind: OrderStart, slot: s}, OrderDone, Answer{})
	}
	events := c.TakeEvents()
	g.Expect(events).NotTo(BeEmpty())
	g.Expect(events[0].Kind).To(Equal(EventStartsLimited))
	starts := c.Dump(now).Starts
	g.Expect(starts.Limit).To(BeNumerically("<", startLimitSettings.InitialLimit))
	g.Expect(starts.MedianMs).To(BeNumerically("==", 100))
}
