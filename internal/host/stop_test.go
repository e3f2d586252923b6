package host

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A caller's answer is cut off and the node's last log lines are missing. Its steps of
// a stop took 6.3 s together, each within its own limit, and it was killed at the end
// of its 6 s of grace.
func TestTheStepsOfAStopStayWithinTheGraceTime(t *testing.T) {
	g := NewWithT(t)
	for _, grace := range []time.Duration{5 * time.Second, 6 * time.Second, 30 * time.Second} {
		// Links, duties and the log follow the requests; readiness ends last of all.
		steps := balancerNotice + closeLimit(grace) + linksLimit + logLimit + dutiesLimit + logLimit
		g.Expect(steps).To(BeNumerically("<", grace))
	}
	g.Expect(closeLimit(time.Second)).To(Equal(leastClose), "requests in flight get some time however short the grace is")
}
