package fleetops

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a list of thousands of instances, in tens of pages, that is read without a pause
// while orders wait for it.
func TestInstancesListedPerSecondAreBounded(t *testing.T) {
	g := NewWithT(t)
	const seconds = 20
	for _, instances := range []int{50, 6000, 12000} {
		p := listPace{}
		readings := 0
		for now := time.Second; now < (1+seconds)*time.Second; now += 10 * time.Millisecond {
			if p.due(now, 0) {
				p.observe(now, instances)
				readings++
			}
		}
		g.Expect(readings * instances).To(BeNumerically("<=", seconds*maxListedPerSecond+instances))
		g.Expect(readings).To(BeNumerically(">=", 16), "orders must not wait for long")
	}
}

// An idle fleet's list must be read at its usual age.
func TestAListIsReadAgainAtItsMaximumAge(t *testing.T) {
	g := NewWithT(t)
	p := listPace{}
	g.Expect(p.due(time.Second, maxListAgeIdle)).To(BeTrue())
	p.observe(time.Second, 6000)
	g.Expect(p.due(2900*time.Millisecond, maxListAgeIdle)).To(BeFalse())
	g.Expect(p.due(3*time.Second, maxListAgeIdle)).To(BeTrue())
}
