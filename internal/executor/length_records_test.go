package executor

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/routing"
)

// successor returns an owner that restores the records of c, laterBy after c's present time.
func successor(c *Core, records []Record, laterBy time.Duration) *Core {
	next := New("pool", c.epoch+1, c.limits, time.Hour)
	next.SetWallClock(c.wallMs + laterBy.Milliseconds())
	Expect(next.Restore(records, time.Hour)).To(Succeed())
	return next
}

func newTestCore(wallMs int64) *Core {
	c := New("pool", 1, Limits{Lease: 3 * time.Second, ProofAge: 5 * time.Second, KeepEnded: time.Minute}, 0)
	c.SetWallClock(wallMs)
	return c
}

var testAcceptance = Accepting{Queue: "q", Terms: routing.Terms{Attempts: 2, SlowdownFactor: 1.6, Slack: 600 * time.Millisecond}}

var _ = Describe("an owner's recorded state", func() {
	// All processes lose power and restart. A new owner that measured each job's wait from its
	// own start would treat all jobs as early, and those that can still meet their objective would
	// wait behind those that can't.
	It("includes how long a job has waited, also for its successor", func() {
		c := newTestCore(1_000_000)
		old := jobs.Job{ID: "00000000000000a1", Steps: []jobs.Step{{Count: 1, CPUMilli: 100, EstimateMs: 1000}}}
		verdict, _ := c.Submit(0, old, testAcceptance, 1)
		Expect(verdict).To(Equal(VerdictAccepted))
		records := c.Ready(0).Records
		soon, late := successor(c, records, 200*time.Millisecond), successor(c, records, 4*time.Second)
		Expect(soon.cannotMeetObjective(time.Hour, soon.jobs[old.ID])).To(BeFalse())
		Expect(late.cannotMeetObjective(time.Hour, late.jobs[old.ID])).To(BeTrue())
	})

	// The time of day jumps when the owner changes. No job may count as submitted in the future
	// or as older than any job can be.
	It("bounds how long a job has waited when the clock jumps", func() {
		c := newTestCore(1_000_000)
		j := jobs.Job{ID: "00000000000000a2", Steps: []jobs.Step{{Count: 1, CPUMilli: 100, EstimateMs: 1000}}}
		c.Submit(0, j, testAcceptance, 1)
		records := c.Ready(0).Records
		back, ahead := successor(c, records, -5*time.Second), successor(c, records, time.Hour)
		Expect(back.timeSinceSubmission(back.jobs[j.ID])).To(BeZero())
		Expect(ahead.timeSinceSubmission(ahead.jobs[j.ID])).To(Equal(maxRestoredWait))
	})

	// Callers' estimates are off by half. A new owner that has nothing else refuses jobs that
	// could meet their objective, until it has seen runs of its own some seconds later.
	It("includes how long runs take, also for its successor", func() {
		c := newTestCore(1_000_000)
		for range 3 * minModelRuns {
			c.addLength("q", 2000, 1, 1000)
		}
		c.Submit(0, jobs.Job{ID: "00000000000000a3", Steps: []jobs.Step{{Count: 1, CPUMilli: 100, EstimateMs: 100}}}, testAcceptance, 1)
		records := c.Ready(0).Records
		next := successor(c, records, time.Second)
		Expect(next.MeanRunLength("q")).To(BeNumerically("~", 2*time.Second, 10*time.Millisecond))
		Expect(next.lengthModels["q"].runs).To(BeNumerically("<=", maxRestoredRuns))
		old := successor(c, records, statsMaxAge+time.Second)
		Expect(old.MeanRunLength("q")).To(BeZero())
	})

	It("has run statistics written only together with other records", func() {
		c := newTestCore(1_000_000)
		c.addLength("q", 1000, 1, 1000)
		Expect(c.Ready(0).Records).To(BeEmpty())
	})

	It("is ignored where its run statistics are malformed", func() {
		c := newTestCore(1_000_000)
		next := successor(c, []Record{{Key: keyLengths, Value: []byte("\xff")}}, 0)
		Expect(next.lengthModels).To(BeEmpty())
	})
})

var _ = Describe("capacity that is on its way", func() {
	// A queue's demand peak begins and instances are requested. A job that could meet its objective
	// on them is refused while they are on their way, is submitted again a second later, and
	// is late.
	It("counts from its arrival on", func() {
		c := newTestCore(0)
		Expect(c.drainMs(0, 4000, 1)).To(BeNumerically("~", 4000, 1))
		c.SetIncomingCapacity(0, []IncomingCapacity{{CPUMilli: 3, InMs: 500}, {CPUMilli: 4, InMs: 1000}})
		// 500 with 1, then 2000 with 4, then 1500 with 8.
		Expect(c.drainMs(0, 4000, 1)).To(BeNumerically("~", 1187.5, 1))
		Expect(c.drainMs(0, 400, 1)).To(BeNumerically("~", 400, 1))
		Expect(c.drainMs(600*time.Millisecond, 1000, 1)).To(BeNumerically("~", 250, 1), "the first addition has arrived by then")
		Expect(c.drainMs(vacateFor+time.Second, 4000, 1)).To(BeNumerically("~", 4000, 1), "the announcement has expired")
	})
})
