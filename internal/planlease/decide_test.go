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

// A holder is frozen for longer than its TTL, and wakes before it has read its
// successor's claim. By its own clock the lease has lapsed, so it acts no more
// though the state it knows still names it.
func TestFrozenHolderActsNoMore(t *testing.T) {
	g := NewWithT(t)
	c := planlease.NewContender("p1", "b1", timing)
	var s planlease.State
	c.Observe(s, 10*time.Second)
	g.Expect(c.Decide(s, 0, 10*time.Second)).To(Equal(planlease.ActClaim))
	c.Sent(10 * time.Second)
	s.ApplyClaim(fold.Meta{Offset: 1}, planlease.Claim{Holder: "p1", BootID: "b1"})
	c.Settled(true)
	c.Observe(s, 10*time.Second)
	g.Expect(c.Holds(12 * time.Second)).To(Equal(uint64(1)))
	g.Expect(c.Holds(13 * time.Second)).To(BeZero())
}

// A renewal was sent and its answer never came: the holder's right counts from
// the last renewal that the fold accepted.
func TestUnconfirmedRenewalDoesNotExtend(t *testing.T) {
	g := NewWithT(t)
	c := planlease.NewContender("p1", "b1", timing)
	s := planlease.State{Epoch: 1, Holder: "p1", BootID: "b1", Renewed: 1}
	c.Observe(s, time.Second)
	c.Sent(time.Second)
	c.Settled(true)
	c.Sent(3 * time.Second)
	c.Settled(false)
	g.Expect(c.Holds(3500 * time.Millisecond)).To(Equal(uint64(1)))
	g.Expect(c.Holds(4 * time.Second)).To(BeZero())
}

// A challenger reads the log late. It takes its own lag for the holder's
// silence and claims; the holder had renewed, acts on, and would go on for up
// to a TTL beside the challenger. The fold refuses the claim, because it was
// written without knowledge of the renewal. Found by the property below.
func TestLateReaderDoesNotTakeALiveLease(t *testing.T) {
	g := NewWithT(t)
	var s planlease.State
	s.ApplyClaim(fold.Meta{Offset: 1}, planlease.Claim{Holder: "a", BootID: "b1"})
	known := s
	s.ApplyRenew(fold.Meta{Offset: 2}, planlease.Renew{Epoch: 1, Holder: "a", BootID: "b1"})
	v := s.ApplyClaim(fold.Meta{Offset: 3}, planlease.Claim{Follows: known.Epoch, Renewed: known.Renewed, Holder: "b", BootID: "b1"})
	g.Expect(v.Reason).To(Equal(planlease.ReasonRenewed))
}

// Two contenders read the log late, and lose records, at will. They never both
// believe that they hold the lease, as long as neither clock runs faster.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &world{now: time.Second}
		for _, name := range []string{"a", "b"} {
			w.sides = append(w.sides, &side{name: name, c: planlease.NewContender(name, "b1", timing)})
		}
		for range 200 {
			w.now += time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond
			s := w.sides[rapid.IntRange(0, 1).Draw(rt, "who")]
			if rapid.Bool().Draw(rt, "reads") {
				s.known = w.log
				s.c.Observe(s.known, w.now)
			}
			w.act(s, rapid.Bool().Draw(rt, "lost"))
			if w.sides[0].c.Holds(w.now) != 0 && w.sides[1].c.Holds(w.now) != 0 {
				rt.Fatalf("two holders at %v", w.now)
			}
		}
	})
}

type side struct {
	name  string
	c     *planlease.Contender
	known planlease.State
}

type world struct {
	now    time.Duration
	offset uint64
	log    planlease.State
	sides  []*side
}

// act lets a side decide by what it knows, and writes what it decides.
func (w *world) act(s *side, lost bool) {
	act := s.c.Decide(s.known, 0, w.now)
	if act == planlease.ActWait {
		return
	}
	s.c.Sent(w.now)
	if lost {
		s.c.Settled(false)
		return
	}
	w.offset++
	m, v := fold.Meta{Offset: w.offset}, fold.Verdict{}
	if act == planlease.ActClaim {
		v = w.log.ApplyClaim(m, planlease.Claim{Follows: s.known.Epoch, Renewed: s.known.Renewed, Holder: s.name, BootID: "b1"})
	} else {
		v = w.log.ApplyRenew(m, planlease.Renew{Epoch: s.known.Epoch, Holder: s.name, BootID: "b1"})
	}
	s.known = w.log // reading its own record back, it reads all before it
	s.c.Settled(v.Accepted)
	s.c.Observe(s.known, w.now)
}
