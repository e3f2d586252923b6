package pick_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/dispatch/pick"
)

// A maintenance wave returns most of a pool within seconds, so all of it is in
// slow start. Every slot must be usable: limited to a tenth of its slots, an
// idle pool refused callers for overload.
func TestSlowStartDoesNotLimitPoolAsAWhole(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	p := pick.NewLeastLoaded("z", 1)
	p.Set(now, []pick.Endpoint{{Instance: "a", BootID: "1", Slots: 8}, {Instance: "b", BootID: "1", Slots: 8}})
	p.Set(now, []pick.Endpoint{{Instance: "a", BootID: "2", Slots: 8}, {Instance: "b", BootID: "2", Slots: 8}})
	g.Expect(p.Slots(now)).To(Equal(16))
	for range 16 {
		_, ok := p.Pick(now, "")
		g.Expect(ok).To(BeTrue())
	}
	_, ok := p.Pick(now, "")
	g.Expect(ok).To(BeFalse())
}

// One of three endpoints returns. Until it has warmed up, the others take as
// many requests as they have slots for.
func TestSlowStartLimitsReturningEndpoint(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	p := pick.NewLeastLoaded("z", 1)
	set := func(boot string) {
		p.Set(now, []pick.Endpoint{
			{Instance: "a", BootID: "1", Slots: 8}, {Instance: "b", BootID: "1", Slots: 8}, {Instance: "c", BootID: boot, Slots: 8},
		})
	}
	set("1")
	set("2")
	for range 16 {
		p.Pick(now, "")
	}
	g.Expect(p.InFlight("c")).To(BeNumerically("<=", 1))
}
