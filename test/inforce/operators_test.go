package inforce_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/ctl"
	"cyclamenwheel/test/harness"
)

// operatorCount is the number of operators that publish concurrently in every
// round.
const operatorCount = 4

// publishAttempt is the result of one publication.
type publishAttempt struct {
	name string
	pub  ctl.Published
	res  harness.CtlResult
}

// publishConcurrently lets all operators publish at the same time, based on
// the same generation.
func publishConcurrently(c *harness.Cluster, based uint64) (won publishAttempt, lost []publishAttempt) {
	GinkgoHelper()
	results := make(chan publishAttempt, operatorCount)
	for i := range operatorCount {
		go func() {
			defer GinkgoRecover()
			a := publishAttempt{name: fmt.Sprintf("operator-%d", i)}
			a.pub, a.res = c.TryPublish(manifestOfSize(3+i), append(basedOn(based), "--operator", a.name)...)
			results <- a
		}()
	}
	for range operatorCount {
		a := <-results
		if a.res.Code == ctl.ExitOK {
			Expect(won.name).To(BeEmpty(), "both %s and %s won", won.name, a.name)
			won = a
			continue
		}
		lost = append(lost, a)
	}
	Expect(won.name).NotTo(BeEmpty(), "nobody won: %+v", lost)
	return won, lost
}

var _ = Describe("Operators that publish concurrently", func() {
	// All publish a change to the same generation. The first record in the log
	// wins; the others get a conflict that names the winner and the generation to
	// rebase on, and can then publish again.
	It("have exactly one winner, and the others can rebase", func() {
		c, l := startCluster(harness.Options{}, 31)
		based := c.Fold().Manifest.Generation
		for range 3 {
			won, lost := publishConcurrently(c, based)
			Expect(won.pub.Generation).To(Equal(based + 1))
			for _, a := range lost {
				Expect(a.res.Code).To(Equal(ctl.ExitConflict), a.res.Err)
				Expect(a.res.Err).To(ContainSubstring("published by " + won.name))
				Expect(a.res.Err).To(ContainSubstring(fmt.Sprintf("--based-on %d", won.pub.Generation)))
			}
			expectGeneration(c, won.pub.Generation)
			rebased := c.Publish(manifestOfSize(6), basedOn(won.pub.Generation)...)
			Expect(rebased.Generation).To(Equal(won.pub.Generation + 1))
			based = rebased.Generation
		}
		expectGeneration(c, based)
		finishAndCheck(c, l)
	})
})
