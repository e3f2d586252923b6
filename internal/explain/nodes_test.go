package explain_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/explain"
	"cyclamenwheel/internal/shards"
)

var _ = Describe("explanations from node dumps", func() {
	waitingJob := executor.JobDump{ID: "00000000000000a1", Queue: "q", State: "queued", ObjectiveMs: -300,
		Waiting: []string{"00000000000000a1.0.0.0: endpoints 4 full"}, Unblock: []string{"a task that ends"}}
	owner := explain.NodeDump{Node: "127.0.0.1:1", Pools: []executor.PoolDump{{Epoch: 3, Summary: executor.Summary{Pool: "tabs", Endpoints: 4, CapacityMilli: 64000, Jobs: 1},
		Jobs: []executor.JobDump{waitingJob}, Endpoints: []executor.EndpointDump{{ID: "i-1", FailedPolls: 2, LeaseEndsMs: 900}, {ID: "i-2"}}}}}
	other := explain.NodeDump{Node: "127.0.0.1:2", Duties: shards.Status{Duties: []shards.DutyStatus{{Duty: "rooms", Owner: "n-9"}}}}
	silent := explain.NodeDump{Node: "127.0.0.1:3", Err: "no answer"}

	It("explains an open job from the dump of its pool's owner", func() {
		e, err := explain.FromNodes([]explain.NodeDump{other, owner}, explain.KindJob, waitingJob.ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Is).To(ContainElements(ContainSubstring("queued in pool tabs"), ContainSubstring("late by 300 ms")))
		Expect(e.WaitsFor).To(Equal(waitingJob.Waiting))
		Expect(e.Unblock).To(Equal(waitingJob.Unblock))
	})

	It("reports why a job failed, and the crashes under the tasks of an open job", func() {
		open := waitingJob
		open.Crashes = []string{"00000000000000a1.0.0.0: 2 endpoints have crashed under it"}
		pool := executor.PoolDump{Epoch: 3, Summary: executor.Summary{Pool: "tabs"}, Jobs: []executor.JobDump{open},
			Failed: []executor.FailedDump{{ID: "00000000000000b2", Queue: "q", Reason: "task 00000000000000b2.0.0.0 is given up", EndedAgoMs: 40}}}
		dump := explain.NodeDump{Node: "127.0.0.1:1", Pools: []executor.PoolDump{pool}}
		e, err := explain.FromNodes([]explain.NodeDump{dump}, explain.KindJob, "00000000000000b2")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Is).To(ConsistOf(ContainSubstring("failed in pool tabs, queue q, 40 ms ago")))
		Expect(e.Why).To(ConsistOf(ContainSubstring("is given up")))
		e, err = explain.FromNodes([]explain.NodeDump{dump}, explain.KindJob, open.ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Why).To(Equal(open.Crashes))
	})

	It("explains a pool from its owner's dump and lists endpoints that accept no tasks", func() {
		e, err := explain.FromNodes([]explain.NodeDump{owner}, explain.KindPool, "tabs")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Is).To(ContainElement(ContainSubstring("owner 127.0.0.1:1, epoch 3")))
		Expect(e.WaitsFor).To(ConsistOf(ContainSubstring("i-1 has left 2 calls unanswered")))
	})

	It("reports the presumed owner of a pool that no answering node owns", func() {
		e, err := explain.FromNodes([]explain.NodeDump{owner, other}, explain.KindPool, "rooms")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Is).To(ConsistOf("no node that answered owns it"))
		Expect(e.Why).To(ConsistOf(ContainSubstring("takes n-9 for its owner")))
	})

	It("names the nodes that did not answer if the object is not found", func() {
		_, err := explain.FromNodes([]explain.NodeDump{owner, silent}, explain.KindJob, "00000000000000ff")
		Expect(err).To(MatchError(And(ContainSubstring("never accepted"), ContainSubstring("not answered: 127.0.0.1:3"))))
		_, err = explain.FromNodes([]explain.NodeDump{owner}, explain.KindManifest, "")
		Expect(err).To(MatchError(ContainSubstring("can't explain")))
	})
})
