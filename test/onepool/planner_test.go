package onepool_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin"
	"cyclamenwheel/test/harness"
)

var _ = Describe("A planner that is killed between the beginning and the end of a move", func() {
	// The beginning of the move is in the log, but the platform does not accept
	// operations yet. The planner is killed; the next planner finds the beginning
	// and requests the same operation.
	It("before it has requested the operation leaves a move that the next one finishes", func() {
		c := harness.New(harness.Options{Controls: 3})
		c.Form(manifestBefore())
		l := startLoad(c, 1)
		Expect(c.Standin.SetFault(bg, standin.ClassOperations, standin.PlatformFault{Down: true})).To(Succeed())
		publish(c, manifestAfter())
		awaitMoveBegun(c)
		c.Planner().Kill()
		Expect(c.Standin.ClearFaults(bg)).To(Succeed())
		expectMoved(c)
		Expect(l.Stop().Broken.Count).To(BeZero())
		c.Check()
	})

	// The platform has accepted the operation, and the planner is killed before it
	// records the end. The next planner finds the instance back after that
	// operation, or repeats the request with the same ID, which must not reboot the
	// instance again.
	It("after it has requested the operation leaves a move that the next one finishes", func() {
		c := harness.New(harness.Options{Controls: 3})
		c.Form(manifestBefore())
		l := startLoad(c, 2)
		publish(c, manifestAfter())
		Eventually(func() string { return instanceState(c, tabsToCharges).OperationInProgress }, harness.Timeout, harness.PollInterval/4).ShouldNot(BeEmpty())
		c.Planner().Kill()
		expectMoved(c)
		Expect(l.Stop().Broken.Count).To(BeZero())
		c.Check()
	})
})

var _ = Describe("A platform that loses responses to pool operations", func() {
	// Half of the calls take effect without a response, some take effect twice
	// and some are refused. The planner retries until the instance list shows the
	// operation, and every instance must reboot once for each of its moves.
	It("moves each instance once", func() {
		c := harness.New(harness.Options{})
		c.Form(manifestBefore())
		l := startLoad(c, 3)
		Expect(c.Standin.SetFault(bg, standin.ClassOperations, standin.PlatformFault{
			LoseProbability: 0.5, RepeatProbability: 0.3, DownProbability: 0.3, Seed: 7})).To(Succeed())
		for range 2 {
			publish(c, manifestAfter())
			expectMoved(c)
			publish(c, manifestBefore())
			c.AwaitSettled()
		}
		expectOneBootPerOperation(c)
		Expect(l.Stop().Broken.Count).To(BeZero())
		c.Check()
	})

	// The same for appends: the log contains records twice, as writers retry after
	// a lost response. The fold must apply each record once.
	It("and to appends moves each instance once", func() {
		c := harness.New(harness.Options{})
		c.Form(manifestBefore())
		l := startLoad(c, 4)
		Expect(c.Standin.SetFault(bg, standin.ClassAppend, standin.PlatformFault{
			LoseProbability: 0.4, RepeatProbability: 0.3, DownProbability: 0.1, Seed: 8})).To(Succeed())
		publish(c, manifestAfter())
		expectMoved(c)
		Expect(c.Standin.ClearFaults(bg)).To(Succeed())
		Expect(l.Stop().Broken.Count).To(BeZero())
		c.Check()
	})
})
