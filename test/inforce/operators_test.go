package inforce_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/ctl"
	"cyclamenwheel/test/harness"
)

// operators race each other in every round.
const operators = 4

// attempt is what became of one operator's publication.
type attempt struct {
	name string
	pub  ctl.Published
	res  harness.CtlResult
}

// race lets all operators publish at once, based on the same generation.
func race(c *harness.Cluster, based uint64) (won attempt, lost []attempt) {
	GinkgoHelper()
	results := make(chan attempt, operators)
	for i := range operators {
		go func() {
			defer GinkgoRecover()
			a := attempt{name: fmt.Sprintf("operator-%d", i)}
			a.pub, a.res = c.TryPublish(sized(3+i), append(basedOn(based), "--operator", a.name)...)
			results <- a
		}()
	}
	for range operators {
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

var _ = Describe("Operators that race each other", func() {
	// All change the same generation at once. The first in the log wins; the
	// others are told that there is a conflict, by whom, and on which
	// generation to rebase, and can then publish again.
	It("have exactly one winner, and the others can rebase", func() {
		c, l := start(harness.Options{}, 31)
		based := c.Fold().Manifest.Generation
		for range 3 {
			won, lost := race(c, based)
			Expect(won.pub.Generation).To(Equal(based + 1))
			for _, a := range lost {
				Expect(a.res.Code).To(Equal(ctl.ExitConflict), a.res.Err)
				Expect(a.res.Err).To(ContainSubstring("published by " + won.name))
				Expect(a.res.Err).To(ContainSubstring(fmt.Sprintf("--based-on %d", won.pub.Generation)))
			}
			expectEverywhere(c, won.pub.Generation)
			rebased := c.Publish(sized(6), basedOn(won.pub.Generation)...)
			Expect(rebased.Generation).To(Equal(won.pub.Generation + 1))
			based = rebased.Generation
		}
		expectEverywhere(c, based)
		finish(c, l)
	})
})
