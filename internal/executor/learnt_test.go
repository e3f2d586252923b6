package executor

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/routing"
)

// successor returns an owner that restores what c has written, laterBy afterwards.
func successor(c *Core, records []Record, laterBy time.Duration) *Core {
	next := New("pool", c.epoch+1, c.limits, time.Hour)
	next.SetWall(c.wallMs + laterBy.Milliseconds())
	Expect(next.Restore(records, time.Hour)).To(Succeed())
	return next
}

func ownerOf(wallMs int64) *Core {
	c := New("pool", 1, Limits{Lease: 3 * time.Second, ProofAge: 5 * time.Second, KeepEnded: time.Minute}, 0)
	c.SetWall(wallMs)
	return c
}

var underTest = Accepting{Queue: "q", Terms: routing.Terms{Attempts: 2, SlowdownFactor: 1.6, Slack: 600 * time.Millisecond}}

var _ = Describe("what an owner knows", func() {
	// All processes lose power and come back. Callers whose jobs could still be in
	// time wait behind those whose time is over: the new owner counts each job's
	// time from its own beginning, and takes all for early.
	It("includes how long a job has waited, for its successor too", func() {
		c := ownerOf(1_000_000)
		old := jobs.Job{ID: "00000000000000a1", Steps: []jobs.Step{{Count: 1, CPUMilli: 100, EstimateMs: 1000}}}
		verdict, _ := c.Submit(0, old, underTest, 1)
		Expect(verdict).To(Equal(VerdictAccepted))
		records := c.Ready(0).Records
		soon, late := successor(c, records, 200*time.Millisecond), successor(c, records, 4*time.Second)
		Expect(soon.hopeless(time.Hour, soon.jobs[old.ID])).To(BeFalse())
		Expect(late.hopeless(time.Hour, late.jobs[old.ID])).To(BeTrue())
	})

	// The time of day jumps back as the owner changes. No job is taken for one that
	// has yet to be handed in, or for one that is older than any can be.
	It("bounds how long a job has waited by a clock that jumps", func() {
		c := ownerOf(1_000_000)
		j := jobs.Job{ID: "00000000000000a2", Steps: []jobs.Step{{Count: 1, CPUMilli: 100, EstimateMs: 1000}}}
		c.Submit(0, j, underTest, 1)
		records := c.Ready(0).Records
		back, ahead := successor(c, records, -5*time.Second), successor(c, records, time.Hour)
		Expect(back.waited(back.jobs[j.ID])).To(BeZero())
		Expect(ahead.waited(ahead.jobs[j.ID])).To(Equal(longestWait))
	})

	// Callers' estimates are off by half. A new owner that has them only refuses
	// what could be in time, for the seconds until it has seen runs of its own.
	It("includes how long runs take, for its successor too", func() {
		c := ownerOf(1_000_000)
		for range 3 * fewRuns {
			c.learn("q", 2000, 1, 1000)
		}
		c.Submit(0, jobs.Job{ID: "00000000000000a3", Steps: []jobs.Step{{Count: 1, CPUMilli: 100, EstimateMs: 100}}}, underTest, 1)
		records := c.Ready(0).Records
		next := successor(c, records, time.Second)
		Expect(next.Learned("q")).To(BeNumerically("~", 2*time.Second, 10*time.Millisecond))
		Expect(next.learned["q"].runs).To(BeNumerically("<=", learntRuns))
		old := successor(c, records, learntFor+time.Second)
		Expect(old.Learned("q")).To(BeZero())
	})

	It("is written with other records and not for itself alone", func() {
		c := ownerOf(1_000_000)
		c.learn("q", 1000, 1, 1000)
		Expect(c.Ready(0).Records).To(BeEmpty())
	})

	It("is left aside where it can't be read", func() {
		c := ownerOf(1_000_000)
		next := successor(c, []Record{{Key: keyLearnt, Value: []byte("\xff")}}, 0)
		Expect(next.learned).To(BeEmpty())
	})
})

var _ = Describe("room that is on its way", func() {
	// A queue's turn begins and instances are called. A job that comes while they are
	// on their way could be in time on them; it is refused, comes back a second
	// later, and is late.
	It("counts from when it comes", func() {
		c := ownerOf(0)
		Expect(c.waitMs(0, 4000, 1)).To(BeNumerically("~", 4000, 1))
		c.Lent(0, []Loan{{CPUMilli: 3, InMs: 500}, {CPUMilli: 4, InMs: 1000}})
		// 500 with 1, then 2000 with 4, then 1500 with 8.
		Expect(c.waitMs(0, 4000, 1)).To(BeNumerically("~", 1187.5, 1))
		Expect(c.waitMs(0, 400, 1)).To(BeNumerically("~", 400, 1))
		Expect(c.waitMs(600*time.Millisecond, 1000, 1)).To(BeNumerically("~", 250, 1), "the first has come by then")
		Expect(c.waitMs(vacateFor+time.Second, 4000, 1)).To(BeNumerically("~", 4000, 1), "the word is too old")
	})
})
