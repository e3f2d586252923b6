package pick

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPick(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pick")
}

var start = time.Unix(1000, 0)

func endpoints(n, slots int) []Endpoint {
	var out []Endpoint
	for i := range n {
		out = append(out, Endpoint{Instance: fmt.Sprint("w", i), BootID: "1", Zone: fmt.Sprint(i % 2), Slots: slots})
	}
	return out
}

func newPicker(n, slots int) *LeastLoaded {
	p := NewLeastLoaded("0", 1)
	p.Set(start, endpoints(n, slots))
	return p
}

// failUntilEjected records enough consecutive failures to eject an endpoint.
func failUntilEjected(p *LeastLoaded, now time.Time, instance string) {
	for range failuresToEject {
		p.reserve(now, p.states[instance])
		p.Done(now, instance, Sample{Result: ResultFailed})
	}
}

var _ = Describe("the least-loaded picker", func() {
	It("uses every slot and no more", func() {
		p := newPicker(3, 2)
		for range 6 {
			_, ok := p.Pick(start, "")
			Expect(ok).To(BeTrue())
		}
		_, ok := p.Pick(start, "")
		Expect(ok).To(BeFalse())
		Expect(p.Total()).To(Equal(6))
		Expect(p.InFlight("w0")).To(Equal(2))
	})

	It("prefers its own zone only to break ties", func() {
		p := newPicker(2, 8)
		first, _ := p.Pick(start, "")
		second, _ := p.Pick(start, "")
		Expect([]string{first, second}).To(Equal([]string{"w0", "w1"}))
	})

	It("avoids the given endpoint if there is another", func() {
		p := newPicker(2, 8)
		for range 8 {
			id, _ := p.Pick(start, "w0")
			Expect(id).To(Equal("w1"))
		}
		id, ok := p.Pick(start, "w0")
		Expect(ok).To(BeTrue())
		Expect(id).To(Equal("w0"))
	})

	// An instance is removed while requests are in flight to it. It gets no new
	// requests, its requests in flight are still counted, and they still occupy
	// slots if it returns in the meantime.
	It("counts the requests in flight to a removed endpoint", func() {
		p := newPicker(1, 2)
		id, _ := p.Pick(start, "")
		p.Set(start, nil)
		_, ok := p.Pick(start, "")
		Expect(ok).To(BeFalse())
		Expect(p.InFlight(id)).To(Equal(1))
		p.Set(start, endpoints(1, 2))
		_, ok = p.Pick(start, "")
		Expect(ok).To(BeTrue())
		_, ok = p.Pick(start, "")
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("outlier ejection", func() {
	It("ejects a failing endpoint and returns it with a slow start", func() {
		p := newPicker(4, 8)
		failUntilEjected(p, start, "w0")
		Expect(p.Ejected()).To(Equal([]string{"w0"}))
		Expect(p.Slots(start)).To(Equal(24))
		back := start.Add(ejectBase)
		Expect(p.Slots(back)).To(Equal(32), "slow start limits an endpoint only while others have free slots")
		Expect(p.states["w0"].slowStartLimit(back)).To(Equal(1))
		Expect(p.states["w0"].slowStartLimit(back.Add(slowStartTime / 2))).To(Equal(4))
		Expect(p.states["w0"].slowStartLimit(back.Add(slowStartTime))).To(Equal(8))
	})

	It("doubles the duration for an endpoint that fails again", func() {
		p := newPicker(4, 8)
		failUntilEjected(p, start, "w0")
		now := start.Add(ejectBase)
		p.restoreExpired(now)
		failUntilEjected(p, now, "w0")
		p.restoreExpired(now.Add(2*ejectBase - 1))
		Expect(p.Ejected()).To(HaveLen(1))
		p.restoreExpired(now.Add(2 * ejectBase))
		Expect(p.Ejected()).To(BeEmpty())
	})

	// Everything fails because a shared database is down. Ejecting every
	// failing endpoint would leave none, and callers would be refused long
	// after the database has recovered.
	It("never ejects more than half of the endpoints", func() {
		p := newPicker(5, 8)
		for i := range 5 {
			failUntilEjected(p, start, fmt.Sprint("w", i))
		}
		Expect(p.Ejected()).To(HaveLen(2))
	})

	// Under overload requests are sent with little time left and time out. The
	// endpoints are healthy and needed.
	It("does not count a timeout against the endpoint if too little time was left", func() {
		p := newPicker(4, 8)
		for range 20 {
			p.reserve(start, p.states["w0"])
			p.Done(start, "w0", Sample{Result: ResultTimeout, Latency: 20 * time.Millisecond, Expected: 50 * time.Millisecond})
		}
		Expect(p.Ejected()).To(BeEmpty())
		for range failuresToEject {
			p.reserve(start, p.states["w0"])
			p.Done(start, "w0", Sample{Result: ResultTimeout, Latency: time.Second, Expected: 50 * time.Millisecond})
		}
		Expect(p.Ejected()).To(HaveLen(1))
	})

	// A host disappears silently. Its requests hang until their deadline;
	// nothing more may be sent there in the meantime.
	It("sends nothing more to a stalled endpoint", func() {
		p := newPicker(4, 8)
		p.latency = 20 * time.Millisecond
		p.reserve(start, p.states["w0"])
		later := start.Add(time.Second)
		for range 24 {
			id, ok := p.Pick(later, "")
			Expect(ok).To(BeTrue())
			Expect(id).NotTo(Equal("w0"))
		}
		_, ok := p.Pick(later, "")
		Expect(ok).To(BeFalse())
	})
})
