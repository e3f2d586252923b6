package planlease_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cyclamenwheel/internal/fold"
	"cyclamenwheel/internal/planlease"
)

var timing = planlease.Timing{TTL: 3 * time.Second, RenewEvery: time.Second, Stagger: 100 * time.Millisecond}

// A holder is suspended for longer than its TTL and resumes before it has read its successor's
// claim. It must not act: the lease has expired by its own clock, although the state that it last
// read still names it as holder.
func TestSuspendedHolderStopsActing(t *testing.T) {
	g := NewWithT(t)
	c := planlease.NewContender("p1", "b1", timing)
	var s planlease.State
	c.Observe(s, 10*time.Second)
	g.Expect(c.Decide(s, 0, 10*time.Second)).To(Equal(planlease.ActClaim))
	c.AppendStarted(10 * time.Second)
	s.ApplyClaim(fold.Meta{Offset: 1}, planlease.Claim{Holder: "p1", BootID: "b1"})
	c.AppendFinished(true)
	c.Observe(s, 10*time.Second)
	g.Expect(c.Holds(12 * time.Second)).To(Equal(uint64(1)))
	g.Expect(c.Holds(13 * time.Second)).To(BeZero())
}

// The result of a renewal never arrives. The lease must count from the last renewal that the fold
// accepted.
func TestUnconfirmedRenewalDoesNotExtendLease(t *testing.T) {
	g := NewWithT(t)
	c := planlease.NewContender("p1", "b1", timing)
	s := planlease.State{Epoch: 1, Holder: "p1", BootID: "b1", Renewed: 1}
	c.Observe(s, time.Second)
	c.AppendStarted(time.Second)
	c.AppendFinished(true)
	c.AppendStarted(3 * time.Second)
	c.AppendFinished(false)
	g.Expect(c.Holds(3500 * time.Millisecond)).To(Equal(uint64(1)))
	g.Expect(c.Holds(4 * time.Second)).To(BeZero())
}

// A challenger that reads the log late mistakes its own lag for an expired lease and claims it,
// while the holder has renewed and could go on acting for up to a TTL. The fold must reject the
// claim, because its author had not read the renewal.
func TestLaggingReaderCannotClaimLiveLease(t *testing.T) {
	g := NewWithT(t)
	var s planlease.State
	s.ApplyClaim(fold.Meta{Offset: 1}, planlease.Claim{Holder: "a", BootID: "b1"})
	stale := s
	s.ApplyRenew(fold.Meta{Offset: 2}, planlease.Renew{Epoch: 1, Holder: "a", BootID: "b1"})
	v := s.ApplyClaim(fold.Meta{Offset: 3}, planlease.Claim{Follows: stale.Epoch, Renewed: stale.Renewed, Holder: "b", BootID: "b1"})
	g.Expect(v.Reason).To(Equal(planlease.ReasonRenewed))
}

// Two contenders read the log at arbitrary times and lose arbitrary records. They must never both
// consider themselves holder, provided that neither clock runs faster than the other.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := &simulation{now: time.Second}
		for _, name := range []string{"a", "b"} {
			sim.participants = append(sim.participants, &participant{name: name, contender: planlease.NewContender(name, "b1", timing)})
		}
		for range 200 {
			sim.now += time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond
			p := sim.participants[rapid.IntRange(0, 1).Draw(rt, "who")]
			if rapid.Bool().Draw(rt, "reads") {
				p.lastRead = sim.log
				p.contender.Observe(p.lastRead, sim.now)
			}
			sim.step(p, rapid.Bool().Draw(rt, "lost"))
			if sim.participants[0].contender.Holds(sim.now) != 0 && sim.participants[1].contender.Holds(sim.now) != 0 {
				rt.Fatalf("two holders at %v", sim.now)
			}
		}
	})
}

type participant struct {
	name      string
	contender *planlease.Contender
	lastRead  planlease.State
}

type simulation struct {
	now          time.Duration
	offset       uint64
	log          planlease.State
	participants []*participant
}

// step lets a participant decide from the state it last read, and appends the resulting record.
func (sim *simulation) step(p *participant, lost bool) {
	action := p.contender.Decide(p.lastRead, 0, sim.now)
	if action == planlease.ActWait {
		return
	}
	p.contender.AppendStarted(sim.now)
	if lost {
		p.contender.AppendFinished(false)
		return
	}
	sim.offset++
	m, v := fold.Meta{Offset: sim.offset}, fold.Verdict{}
	if action == planlease.ActClaim {
		v = sim.log.ApplyClaim(m, planlease.Claim{Follows: p.lastRead.Epoch, Renewed: p.lastRead.Renewed, Holder: p.name, BootID: "b1"})
	} else {
		v = sim.log.ApplyRenew(m, planlease.Renew{Epoch: p.lastRead.Epoch, Holder: p.name, BootID: "b1"})
	}
	p.lastRead = sim.log // reading back its own record implies reading all earlier ones
	p.contender.AppendFinished(v.Accepted)
	p.contender.Observe(p.lastRead, sim.now)
}
