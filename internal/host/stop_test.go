package host

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against shutdown steps that each stay within their own limits but
// together exceed the grace time: with 6 s of grace they took 6.3 s, the node
// was killed, a caller's answer was cut off and the last log lines were lost.
func TestShutdownStepsFitGraceTime(t *testing.T) {
	g := NewWithT(t)
	for _, grace := range []time.Duration{5 * time.Second, 6 * time.Second, 30 * time.Second} {
		// Requests end first, then links, readiness and duties, and the log is
		// written last.
		steps := balancerDetectTime + drainLimit(grace) + linksCloseLimit + logFlushLimit + dutiesStopLimit + logFlushLimit
		g.Expect(steps).To(BeNumerically("<", grace))
	}
	g.Expect(drainLimit(time.Second)).To(Equal(minDrainLimit), "requests in flight get a minimum time however short the grace time is")
}
