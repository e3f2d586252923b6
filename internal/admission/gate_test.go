package admission

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the gate at a node", func() {
	key := GateKey{Pool: "p", Account: "a"}
	notice := func(epoch int64, version uint64, admit float64) Notice {
		return Notice{Epoch: epoch, Version: version, Admit: admit, RetryAfterMs: 9000}
	}
	// forwarded counts the forwarded ones of n submissions at intervals from a time on.
	forwarded := func(g *Gate, from time.Duration, n int, interval time.Duration) int {
		count := 0
		for i := range n {
			if _, ok := g.Admit(from+time.Duration(i)*interval, key); ok {
				count++
			}
		}
		return count
	}

	// Guards against a gate that refuses before any owner asked for it.
	It("forwards everything without a notice", func() {
		Expect(forwarded(NewGate(1), 0, 100, 0)).To(Equal(100))
	})

	// Guards against accounts with few jobs that lose them by chance.
	It("forwards the fraction evenly and counts the rest once", func() {
		g := NewGate(1)
		g.Observe(0, key, notice(1, 1, 0.25))
		Expect(forwarded(g, 0, 4, 0)).To(Equal(1))
		Expect(forwarded(g, 0, 400, 0)).To(Equal(100))
		Expect(g.TakeRefused(key)).To(Equal(303))
		Expect(g.TakeRefused(key)).To(BeZero())
		g.AddRefused(key, -1) // a refusal that was not given, after its report
		g.AddRefused(key, 3)
		Expect(g.TakeRefused(key)).To(Equal(2))
	})

	// Guards against a caller that is told to retry after its deadline.
	It("bounds Retry-After and says why it refuses", func() {
		g := NewGate(1)
		g.Observe(0, key, notice(1, 1, 0))
		d, ok := g.Admit(100*time.Millisecond, key)
		Expect(ok).To(BeFalse())
		Expect(d).To(Equal(GateDecision{Reason: GateFraction, Notice: notice(1, 1, 0), Age: 100 * time.Millisecond}))
		Expect(GateRetryAfter(d.Notice)).To(Equal(3 * time.Second))
		Expect(GateRetryAfter(Notice{})).To(Equal(time.Second))
	})

	// Guards against a class that stays closed because one notice was lost.
	It("takes the next notice after a lost one", func() {
		g := NewGate(1)
		g.Observe(0, key, notice(1, 1, 0.1))
		g.Observe(0, key, notice(1, 3, 1))
		g.Observe(0, key, notice(1, 2, 0)) // late
		Expect(forwarded(g, 0, 10, 0)).To(Equal(10))
		Expect(g.Dump(time.Minute)).To(ConsistOf(GateDump{Pool: "p", Account: "a", Epoch: 1, Admit: 1, AgeMs: 60000}))
	})

	// Guards against a fenced owner whose late answers close the gate to its successor.
	It("ignores notices of a lower epoch", func() {
		g := NewGate(1)
		g.Observe(0, key, notice(2, 1, 1))
		g.Observe(0, key, notice(1, 99, 0))
		Expect(forwarded(g, 0, 10, 0)).To(Equal(10))
	})

	// Guards against an owner that ended, and whose last notice closes the gate or opens it at once.
	It("forwards 4 per second under a stale notice, and everything after 5 s", func() {
		g := NewGate(1)
		g.Observe(0, key, notice(1, 1, 0))
		Expect(forwarded(g, time.Second+time.Millisecond, 1000, 2*time.Millisecond)).To(Equal(8))
		d, _ := g.Admit(4*time.Second, key)
		Expect(d.Reason).To(BeEmpty())
		d, _ = g.Admit(4*time.Second, key)
		Expect(d.Reason).To(Equal(GateStale))
		Expect(g.Dump(4 * time.Second)).To(ConsistOf(HaveField("Stale", true)))
		Expect(forwarded(g, 5*time.Second, 10, 0)).To(Equal(10))
	})

	// Guards against the submissions of many rare classes that are all forwarded to an owner under load.
	It("keeps to the fraction of a rare class while the owner answers others", func() {
		g := NewGate(1)
		g.Observe(0, key, notice(1, 1, 0))
		g.Observe(3*time.Second, GateKey{Pool: "p", Account: "b"}, notice(1, 2, 1))
		Expect(forwarded(g, 3500*time.Millisecond, 10, 0)).To(BeZero())
		Expect(forwarded(g, 5*time.Second, 10, 0)).To(Equal(10))
	})

	// Guards against a node that was frozen and refuses by what it knew before.
	It("does not rely on a notice from before a jump of time", func() {
		g := NewGate(1)
		g.Observe(0, key, notice(1, 1, 0))
		Expect(forwarded(g, 0, 1, 0)).To(BeZero())
		Expect(forwarded(g, 3*time.Second, 1, 0)).To(Equal(1))
		Expect(forwarded(g, time.Hour, 10, 0)).To(Equal(10))
	})

	// Guards against memory that grows with the number of accounts.
	It("keeps the classes used last, up to its bound", func() {
		g, m := NewGate(1), NewMeter(1)
		for i := range maxClasses + 10 {
			g.Observe(0, key, notice(1, uint64(i+1), 0))
			g.Observe(0, GateKey{Account: fmt.Sprint(i)}, notice(1, 1, 0))
			m.ObserveAccepted(0, MeterClass{Account: fmt.Sprint(i)})
		}
		Expect(g.Dump(0)).To(HaveLen(maxClasses))
		Expect(m.classes.Len()).To(Equal(maxClasses))
		Expect(forwarded(g, 0, 10, 0)).To(BeZero())
	})
})

var _ = Describe("the meter of an owner", func() {
	class := MeterClass{Account: "a"}

	// Guards against an owner that asks for all, or for too little, while it refuses.
	It("asks for half as much again as it accepts, of all that was offered", func() {
		m := NewMeter(3)
		m.ObserveAccepted(0, class)
		Expect(m.Notice(0, class)).To(Equal(Notice{Epoch: 3, Version: 1, Admit: 1}))
		m.ObserveRefused(0, class, 700*time.Millisecond, 2*time.Second)
		m.ObserveRefusedAtNode(0, class, 8)
		Expect(m.Notice(0, class)).To(Equal(Notice{Epoch: 3, Version: 2, Admit: 0.15, WaitMs: 700, RetryAfterMs: 2000}))
		m.ObserveRefusedAtNode(0, class, 1000)
		Expect(m.Notice(0, class).Admit).To(Equal(minAdmit))
		Expect(m.Notice(0, MeterClass{Account: "b"}).Admit).To(Equal(1.0))
	})

	// Guards against refusals that reduce the fraction long after the overload.
	It("forgets refusals after its window", func() {
		m := NewMeter(1)
		m.ObserveRefused(0, class, 0, time.Second)
		Expect(m.Notice(900*time.Millisecond, class).Admit).To(Equal(minAdmit))
		m.ObserveRefusedAtNode(1000*time.Millisecond, class, 5)
		Expect(m.Notice(1000*time.Millisecond, class).Admit).To(Equal(1.0))
	})
})
