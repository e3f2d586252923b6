package executor_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
)

func accepting(account string) executor.Accepting {
	return executor.Accepting{Queue: "q", Terms: terms(), Account: account}
}

var _ = Describe("a job of a client account", func() {
	// Another account's caller is shown the job, or cancels it.
	It("is shown to its own account only, also by the next owner", func() {
		w := newWorld(1, 2)
		o := w.takeOver()
		j := jobOf(1, small(1))
		o.core.Submit(w.now, j, accepting("alpha"), 1)
		w.run(100 * step)
		for range 2 {
			Expect(o.core.Shows(j.ID, executor.Caller{Queue: "q", Account: "alpha"})).To(BeTrue())
			Expect(o.core.Shows(j.ID, executor.Caller{Queue: "q", Account: "beta"})).To(BeFalse())
			Expect(o.core.Shows(j.ID, executor.Caller{Queue: "other"})).To(BeFalse())
			Expect(o.core.Shows(j.ID, executor.Caller{Queue: "q"})).To(BeTrue(), "its queue asks for no key any more")
			o.stopped = true
			o = w.takeOver()
		}
	})

	// A job handed in under another account's id is taken for a repetition: its caller is
	// told that it was accepted, and it never runs.
	It("is not confirmed to another account that uses its id", func() {
		w := newWorld(1, 2)
		o := w.takeOver()
		j := jobOf(1, small(1))
		o.core.Submit(w.now, j, accepting("alpha"), 1)
		verdict, refusal := o.core.Submit(w.now, j, accepting("beta"), 2)
		Expect(verdict).To(Equal(executor.VerdictRefused))
		Expect(refusal.Reason).To(Equal(executor.RefusedTaken))
		verdict, _ = o.core.Submit(w.now, j, accepting("alpha"), 3)
		Expect(verdict).To(Equal(executor.VerdictAccepted))
	})

	// A job that was accepted before accounts were known is shown to nobody.
	It("is anybody's where it was handed in without one", func() {
		w := newWorld(1, 2)
		o := w.takeOver()
		j := jobOf(1, small(1))
		w.submit(o, j)
		Expect(o.core.Shows(j.ID, executor.Caller{Queue: "q", Account: "beta"})).To(BeTrue())
	})
})
