package onepool_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin"
	"cyclamenwheel/test/harness"
)

var _ = Describe("A planner that is killed between the beginning and the end of a move", func() {
	// The move's beginning is in the log and the platform cannot be asked yet.
	// The planner dies. Its successor finds the beginning and asks for the same
	// operation.
	It("before it has asked the platform leaves a move that the next one finishes", func() {
		c := harness.New(harness.Options{Controls: 3})
		c.Form(before())
		l := callers(c, 1)
		Expect(c.Standin.SetFault(bg, standin.ClassOperations, standin.PlatformFault{Down: true})).To(Succeed())
		publish(c, after())
		awaitBegun(c)
		c.Planner().Kill()
		Expect(c.Standin.ClearFaults(bg)).To(Succeed())
		expectMoved(c)
		Expect(l.Stop().Broken.Count).To(BeZero())
		c.Check()
	})

	// The platform has taken the operation, and the planner dies before it has
	// recorded the end. Its successor finds the instance back under that
	// operation, or asks again under the same id, which reboots nothing twice.
	It("after it has asked the platform leaves a move that the next one finishes", func() {
		c := harness.New(harness.Options{Controls: 3})
		c.Form(before())
		l := callers(c, 2)
		publish(c, after())
		Eventually(func() string { return truth(c, mover).OperationInProgress }, harness.Patience, harness.Poll/4).ShouldNot(BeEmpty())
		c.Planner().Kill()
		expectMoved(c)
		Expect(l.Stop().Broken.Count).To(BeZero())
		c.Check()
	})
})

var _ = Describe("A platform whose answers to pool operations get lost", func() {
	// Half of the calls take effect without an answer, some take effect twice
	// and some are refused. The planner asks again until the list shows the
	// operation, and every instance is rebooted once for each of its moves.
	It("moves each instance once", func() {
		c := harness.New(harness.Options{})
		c.Form(before())
		l := callers(c, 3)
		Expect(c.Standin.SetFault(bg, standin.ClassOperations, standin.PlatformFault{
			LoseProbability: 0.5, RepeatProbability: 0.3, DownProbability: 0.3, Seed: 7})).To(Succeed())
		for range 2 {
			publish(c, after())
			expectMoved(c)
			publish(c, before())
			c.Settle()
		}
		expectOneBootPerOperation(c)
		Expect(l.Stop().Broken.Count).To(BeZero())
		c.Check()
	})

	// The same of the log: records stand in it twice, and writers do not know
	// of the first. The fold takes each once.
	It("and to appends moves each instance once", func() {
		c := harness.New(harness.Options{})
		c.Form(before())
		l := callers(c, 4)
		Expect(c.Standin.SetFault(bg, standin.ClassAppend, standin.PlatformFault{
			LoseProbability: 0.4, RepeatProbability: 0.3, DownProbability: 0.1, Seed: 8})).To(Succeed())
		publish(c, after())
		expectMoved(c)
		Expect(c.Standin.ClearFaults(bg)).To(Succeed())
		Expect(l.Stop().Broken.Count).To(BeZero())
		c.Check()
	})
})
