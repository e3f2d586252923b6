package executor_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/accounts"
	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/quota"
)

func accepting(account string) executor.Accepting {
	return executor.Accepting{Queue: "q", Terms: terms(), Account: account}
}

var _ = Describe("a job of a client account", func() {
	// Guards against showing a job to another account's caller, who could then cancel it.
	It("is shown to its own account only, also after a change of owner", func() {
		w := newWorld(1, 2)
		o := w.takeOver()
		j := jobOf(1, smallStep(1))
		o.core.Submit(w.now, j, accepting("alpha"), 1)
		w.run(100 * step)
		for range 2 {
			Expect(o.core.VisibleTo(j.ID, executor.Caller{Queue: "q", Account: "alpha"})).To(BeTrue())
			Expect(o.core.VisibleTo(j.ID, executor.Caller{Queue: "q", Account: "beta"})).To(BeFalse())
			Expect(o.core.VisibleTo(j.ID, executor.Caller{Queue: "other"})).To(BeFalse())
			Expect(o.core.VisibleTo(j.ID, executor.Caller{Queue: "q"})).To(BeTrue(), "the queue no longer requires a key")
			o.stopped = true
			o = w.takeOver()
		}
	})

	// Guards against taking a job with another account's ID for a resubmission: its caller
	// would see it accepted, and it would never run.
	It("is not confirmed to another account that submits its ID", func() {
		w := newWorld(1, 2)
		o := w.takeOver()
		j := jobOf(1, smallStep(1))
		o.core.Submit(w.now, j, accepting("alpha"), 1)
		verdict, refusal := o.core.Submit(w.now, j, accepting("beta"), 2)
		Expect(verdict).To(Equal(executor.VerdictRefused))
		Expect(refusal.Reason).To(Equal(executor.RefusedIDTaken))
		verdict, _ = o.core.Submit(w.now, j, accepting("alpha"), 3)
		Expect(verdict).To(Equal(executor.VerdictAccepted))
	})

	// Guards against hiding jobs that were accepted before accounts existed.
	It("is shown to every caller if it was submitted without an account", func() {
		w := newWorld(1, 2)
		o := w.takeOver()
		j := jobOf(1, smallStep(1))
		w.submit(o, j)
		Expect(o.core.VisibleTo(j.ID, executor.Caller{Queue: "q", Account: "beta"})).To(BeTrue())
	})
})

// setAccountLimit gives an account a limit of milli milli-cores in this pool.
func setAccountLimit(w *world, o *owner, account string, milli int, rev int64) {
	d := accounts.NewDirectory()
	limit := accounts.Limit{CPUMilli: milli}
	if err := d.Add(accounts.Account{Name: account, Limit: limit}); err != nil {
		panic(err)
	}
	o.core.SetAccounts(d)
	o.core.ApplyShares(w.now, []quota.Grant{{Account: account, Share: quota.Whole, Limit: limit, Ceiling: limit, Rev: rev}})
}

// checkAccountLimit records a violation if the account's running tasks exceed its limit.
func (w *world) checkAccountLimit() {
	if running := 1000 * w.runningTasks(); w.account != "" && running > w.limitMilli {
		w.violations = append(w.violations, fmt.Sprintf("%v: the account has %d of %d running", w.now, running, w.limitMilli))
	}
}

// Guards against an account that exceeds its limit, or runs nothing at all, when orders and
// answers are lost or late, owners are killed, partitioned or slow, and endpoints become
// unresponsive or crash.
func TestRandomDaysOfAnAccountAtItsLimit(t *testing.T) {
	for seed := uint64(1); seed <= uint64(seeds/3+additionalSeeds()); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			randomScenario(NewWithT(t), seed, variant{handOver: seed%2 == 0, slowJournal: seed%3 == 0, restarts: seed%5 == 0, crashing: seed%4 == 0, limited: true})
		})
	}
}

func (w *world) runningTasks() int {
	n := 0
	for _, h := range w.endpoints {
		n += len(h.running)
	}
	return n
}

var _ = Describe("a client account's limit", func() {
	// Guards against running all that an account submits beyond its limit.
	It("bounds its running tasks, also after a change of owner", func() {
		w := newWorld(1, 4)
		o := w.takeOver()
		w.run(10 * step)
		setAccountLimit(w, o, "alpha", 2500, 1)
		w.lengthOf = func(jobs.TaskName) time.Duration { return 700 * time.Millisecond }
		wide := smallStep(6)
		wide.CPUMilli = 1000
		j := jobOf(1, wide)
		o.core.Submit(w.now, j, accepting("alpha"), 1)
		most := 0
		for range 40 {
			w.run(5 * step)
			most = max(most, w.runningTasks())
		}
		Expect(most).To(Equal(2))
		w.run(3 * time.Second)
		Expect(w.state(o, j)).To(Equal("completed"))
	})

	// Guards against a new owner that, without a recorded share, starts tasks on a share that its
	// predecessor has returned.
	It("lets no task start without a recorded share", func() {
		w := newWorld(1, 4)
		o := w.takeOver()
		w.run(10 * step)
		j := jobOf(1, smallStep(2))
		o.core.Submit(w.now, j, accepting("alpha"), 1)
		w.run(100 * step)
		Expect(w.runningTasks()).To(BeZero())
		Expect(o.core.Dump(w.now).Jobs[0].Waiting[0]).To(ContainSubstring("its account's limit"))
		setAccountLimit(w, o, "alpha", 5000, 1)
		w.run(100 * step)
		Expect(w.state(o, j)).To(Equal("completed"))
	})

	// Guards against jobs of other accounts that wait behind an account at its limit.
	It("does not delay other accounts' jobs", func() {
		w := newWorld(1, 2)
		o := w.takeOver()
		w.run(10 * step)
		setAccountLimit(w, o, "alpha", 1000, 1)
		w.lengthOf = func(n jobs.TaskName) time.Duration {
			if n.Job == jobOf(1).ID {
				return time.Minute
			}
			return 50 * time.Millisecond
		}
		wide := smallStep(200)
		wide.CPUMilli = 1000
		o.core.Submit(w.now, jobOf(1, wide), accepting("alpha"), 1)
		w.run(5 * step)
		other := jobOf(2, smallStep(2))
		w.submit(o, other)
		w.run(50 * step)
		Expect(w.state(o, other)).To(Equal("completed"))
	})

	// Guards against refusing the next jobs of an account that was at its share some time ago,
	// although the share follows its demand quickly.
	It("does not refuse later jobs because earlier ones had to wait", func() {
		w := newWorld(1, 4)
		o := w.takeOver()
		w.run(10 * step)
		setAccountLimit(w, o, "alpha", 1500, 1)
		limit := accounts.Limit{CPUMilli: 1500}
		o.core.ApplyShares(w.now, []quota.Grant{{Account: "alpha", Share: quota.Whole / 2, Limit: limit, Ceiling: limit, Rev: 2}}) // less than a task
		wide := jobOf(1, smallStep(20))
		o.core.Submit(w.now, wide, accepting("alpha"), 1)
		w.run(2 * time.Second)
		verdict, refusal := o.core.Submit(w.now, jobOf(2, smallStep(20)), accepting("alpha"), 2)
		Expect(verdict).To(Equal(executor.VerdictRefused))
		Expect(refusal.Reason).To(Equal(executor.RefusedAccountBacklog))
		o.core.Cancel(w.now, wide.ID, 3)
		w.run(2 * time.Second)
		for n := range 3 {
			verdict, _ = o.core.Submit(w.now, jobOf(10+n, smallStep(20)), accepting("alpha"), 4)
			Expect(verdict).To(Equal(executor.VerdictAccepted))
		}
	})

	// Guards against a gang that starts in part, waits for members beyond its account's limit,
	// and occupies capacity meanwhile.
	It("lets a gang start as a whole or not at all", func() {
		w := newWorld(1, 4)
		o := w.takeOver()
		w.run(10 * step)
		setAccountLimit(w, o, "alpha", 3000, 1)
		together := smallStep(4)
		together.Gang, together.CPUMilli = true, 1000
		verdict, refusal := o.core.Submit(w.now, jobOf(1, together), accepting("alpha"), 1)
		Expect(verdict).To(Equal(executor.VerdictRefused), "it can never start")
		Expect(refusal).To(Equal(executor.Refusal{Reason: executor.RefusedAccount}), "a retry would not help")
		setAccountLimit(w, o, "alpha", 5000, 2)
		w.lengthOf = func(jobs.TaskName) time.Duration { return 400 * time.Millisecond }
		o.core.Submit(w.now, jobOf(2, smallStep(2)), accepting("alpha"), 2)
		w.run(5 * step)
		Expect(w.runningTasks()).To(Equal(2))
		j := jobOf(3, together)
		o.core.Submit(w.now, j, accepting("alpha"), 3)
		w.run(10 * step)
		Expect(w.runningTasks()).To(Equal(2), "three of the gang would fit")
		w.run(2 * time.Second)
		Expect(w.state(o, j)).To(Equal("completed"))
		Expect(w.violations).To(BeEmpty())
	})

	// Guards against usage missing from a new owner's reports: the holder of the shares would
	// take back shares that running tasks still use.
	It("counts the running tasks that a previous owner started", func() {
		w := newWorld(1, 2)
		o := w.takeOver()
		w.run(10 * step)
		setAccountLimit(w, o, "alpha", 5000, 1)
		w.lengthOf = func(jobs.TaskName) time.Duration { return time.Minute }
		o.core.Submit(w.now, jobOf(1, smallStep(3)), accepting("alpha"), 1)
		w.run(20 * step)
		used := o.core.AccountReports(nil)[0].Used
		Expect(used.CPUMilli).To(BeNumerically(">", 0))
		o.stopped = true
		next := w.takeOver()
		Expect(next.core.AccountReports(nil)[0].Used).To(Equal(used))
	})
})
