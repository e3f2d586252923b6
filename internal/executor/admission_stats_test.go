package executor_test

import (
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/accounts"
	"cyclamenwheel/internal/executor"
)

// overloadedOwner returns an owner under overload control with one endpoint and accounts "a" of
// weight 3 and "b" without one.
func overloadedOwner(control bool) (*world, *owner) {
	w := newWorld(1, 1)
	w.limits.OverloadControl = control
	o := w.takeOver()
	w.run(10 * step)
	d := accounts.NewDirectory()
	Expect(d.Add(accounts.Account{Name: "a", Weight: 3})).To(Succeed())
	o.core.SetAccounts(d)
	return w, o
}

// offer submits jobs of an account, numbered from first, until n have been refused.
func offer(w *world, o *owner, account string, first, n int) (offered int) {
	for refused := 0; refused < n; offered++ {
		if v, _ := o.core.Submit(w.now, jobOf(first+offered, smallStep(20)), accepting(account), 1); v == executor.VerdictRefused {
			refused++
		}
	}
	return offered
}

func accountOf(d *executor.AdmissionDump, name string) executor.AccountAdmission {
	for _, a := range d.Accounts {
		if a.Account == name {
			return a
		}
	}
	return executor.AccountAdmission{}
}

var _ = Describe("the dump of admission control", func() {
	// Guards against a dump that shows an account's storm as that of another, or under the wrong
	// outcome.
	It("counts submissions by account, priority and outcome, and shares by weight", func() {
		w, o := overloadedOwner(true)
		_, _ = o.core.Submit(w.now, jobOf(8000, smallStep(1)), accepting("a"), 1)
		Expect(o.core.TakeAdmissions()).To(Equal(map[executor.AdmissionOutcome]int{{Outcome: executor.AdmittedOnTime}: 1}))
		Expect(o.core.Dump(w.now).Admission.Priorities[0].AdmittedOnTime).To(Equal(1))
		offered := 1 + offer(w, o, "a", 1, 5)
		_, _ = o.core.Submit(w.now, jobOf(9000, smallStep(1)), accepting("b"), 1)
		o.core.CountRefusedAtNode(w.now, 0, "b", 7)
		d := o.core.Dump(w.now).Admission
		a, b, p := accountOf(d, "a"), accountOf(d, "b"), d.Priorities[0]
		Expect(a.Refused).To(Equal(map[string]int{executor.RefusedBacklog: 5}))
		Expect([]int{a.Offered, a.Accepted, b.Accepted, b.RefusedAtNodes}).To(Equal([]int{offered, offered - 5, 1, 7}))
		Expect(p.Offered).To(Equal(p.AdmittedOnTime + p.AdmittedLate + 5))
		Expect(p.RefusedAtNodes).To(Equal(7))
		Expect(p.AdmittedLate).To(BeNumerically(">", 0))
		Expect([]float64{a.Weight, a.SharePercent, b.Weight, b.SharePercent}).To(Equal([]float64{3, 75, 1, 25}))
		Expect(a.DemandPercent).To(BeNumerically(">", 90))
		Expect(a.DemandPercent + b.DemandPercent).To(BeNumerically("~", 100, 0.01))
		Expect(p.WaitMs).To(BeNumerically(">", 0))
		Expect(o.core.TakeAdmissions()).To(HaveKeyWithValue(executor.AdmissionOutcome{Outcome: executor.AdmissionRefused}, 5))
		Expect(o.core.TakeAdmissions()).To(BeEmpty())
	})

	// Guards against a demand that grows with the number of retries instead of the work.
	It("counts the work of a job once in the demand", func() {
		w, o := overloadedOwner(true)
		refused := offer(w, o, "a", 1, 1)
		_, _ = o.core.Submit(w.now, jobOf(9000, smallStep(1)), accepting("b"), 1)
		before := accountOf(o.core.Dump(w.now).Admission, "a")
		for range 10 {
			w.run(step)
			verdict, _ := o.core.Submit(w.now, jobOf(refused, smallStep(20)), accepting("a"), 1)
			Expect(verdict).To(Equal(executor.VerdictRefused))
		}
		after := accountOf(o.core.Dump(w.now).Admission, "a")
		Expect(after.Offered).To(Equal(before.Offered + 10))
		Expect(after.DemandPercent).To(Equal(before.DemandPercent))
	})

	// Guards against recent figures that still show a storm that is over.
	It("drops what is older than the window from the recent counts alone", func() {
		w, o := overloadedOwner(true)
		offer(w, o, "a", 1, 5)
		Expect(accountOf(o.core.Dump(w.now).Admission, "a").Recent.Refused).To(HaveLen(1))
		w.run(6 * time.Second)
		a := accountOf(o.core.Dump(w.now).Admission, "a")
		Expect(a.Recent).To(BeZero())
		Expect(a.Refused).To(HaveLen(1))
		Expect(a.AgeMs).To(BeEquivalentTo(6000))
		w.run(4 * time.Second) // as many seconds as use the same slot again
		_, _ = o.core.Submit(w.now, jobOf(9000, smallStep(1)), accepting("a"), 1)
		Expect(accountOf(o.core.Dump(w.now).Admission, "a").Recent.Offered).To(Equal(1))
	})

	// Guards against memory and dumps that grow with the number of accounts, and against a
	// busy account that is missing from a bounded list.
	It("is bounded and lists the busiest accounts first", func() {
		w, o := overloadedOwner(true)
		for n := range 10_050 {
			o.core.CountRefusedAtNode(w.now, 0, fmt.Sprint("c", n), 1)
		}
		d := o.core.Dump(w.now).Admission
		Expect(d.Accounts).To(HaveLen(500))
		Expect(d.UnlistedAccounts).To(Equal(9_500))
		Expect(d.Uncounted.RefusedAtNodes).To(Equal(50))
		w.run(61 * time.Second)
		offer(w, o, "a", 1, 1)
		w.run(6 * time.Second)
		_, _ = o.core.Submit(w.now, jobOf(9000, smallStep(1)), accepting("z"), 1)
		listed := o.core.Dump(w.now).Admission.Accounts
		Expect(listed).To(HaveLen(2))
		Expect(listed[0].Account).To(Equal("z"))
		Expect(listed[1].WaitingCoreMs).To(BeNumerically(">", listed[0].WaitingCoreMs))
	})

	// Guards against effects of overload control where a deployment has not enabled it.
	It("counts nothing without overload control", func() {
		w, o := overloadedOwner(false)
		offer(w, o, "a", 1, 5)
		Expect(o.core.TakeAdmissions()).To(BeEmpty())
		data, err := json.Marshal(o.core.Dump(w.now).Admission)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(MatchJSON(`{"enabled": false, "epoch": 1, "age_ms": 0}`))
	})
})
