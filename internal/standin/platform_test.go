package standin_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/standin"
)

var ctx = context.Background()

var _ = Describe("Log service", func() {
	It("keeps records in order with contiguous offsets, and trims", func() {
		r := startStandin(nil)
		for i := range 5 {
			Expect(r.platform.Append(ctx, []byte{byte(i)})).To(BeEquivalentTo(i + 1))
		}
		page, err := r.platform.Read(ctx, 2, 3, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(HaveLen(3))
		Expect(page.Records[0].Data).To(Equal([]byte{1}))
		Expect(page.Records[2].TimeMillis).To(BeNumerically(">=", page.Records[0].TimeMillis))
		Expect(page.Head).To(BeEquivalentTo(5))

		Expect(r.control.Trim(ctx, 4)).To(Succeed())
		_, err = r.platform.Read(ctx, 3, 1, 0)
		Expect(err).To(Equal(&platform.TrimmedError{From: 3, First: 4}))
		Expect(r.platform.Append(ctx, nil)).To(BeEquivalentTo(6))
	})

	It("wakes a long poll at the next append", func() {
		r := startStandin(nil)
		got := make(chan platform.LogPage, 1)
		go func() {
			page, _ := r.platform.Read(ctx, 1, 10, 30*time.Second)
			got <- page
		}()
		_, err := r.platform.Append(ctx, []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		var page platform.LogPage
		Eventually(got, 10*time.Second).Should(Receive(&page))
		Expect(page.Records).To(HaveLen(1))
	})

	// After a lost response the writer cannot tell whether the append took effect,
	// but the record is in the log. A repeated append is in the log twice.
	It("loses responses after the append, repeats appends, and reports them as not applied when down", func() {
		r := startStandin(nil)
		Expect(r.control.SetFault(ctx, standin.ClassAppend, standin.PlatformFault{LoseNext: 1})).To(Succeed())
		_, err := r.platform.Append(ctx, []byte("lost"))
		Expect(err).To(BeAssignableToTypeOf(&platform.OutcomeUnknownError{}))
		Expect(r.control.SetFault(ctx, standin.ClassAppend, standin.PlatformFault{RepeatNext: 1})).To(Succeed())
		Expect(r.platform.Append(ctx, []byte("twice"))).To(BeEquivalentTo(3))
		Expect(r.control.SetFault(ctx, standin.ClassAppend, standin.PlatformFault{Down: true})).To(Succeed())
		_, err = r.platform.Append(ctx, []byte("down"))
		Expect(err).To(BeAssignableToTypeOf(&platform.UnavailableError{}))
		Expect(r.control.ClearFaults(ctx)).To(Succeed())
		page, err := r.platform.Read(ctx, 1, 10, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(HaveLen(3))
		Expect(page.Records[2].Data).To(Equal([]byte("twice")))
	})
})

var _ = Describe("Pool operations", func() {
	operation := platform.Operation{ID: "op1", Instance: "w001", Pool: "tabs", Revision: 3}

	It("reboots an instance into a pool once per operation id", func() {
		r := startStandin(nil)
		Expect(r.platform.Reboot(ctx, operation)).To(Succeed())
		Eventually(func() string { return r.instance("w001").Operation }, "10s").Should(Equal("op1"))
		Expect(r.platform.Reboot(ctx, operation)).To(Succeed())
		now := r.instance("w001")
		Expect(now).To(And(HaveField("Boots", 2), HaveField("Pool", "tabs"), HaveField("Revision", 3),
			HaveField("State", platform.StateLive), HaveField("BootID", "w001-boot-2")))

		other := operation
		other.Pool = "orders"
		Expect(r.platform.Reboot(ctx, other)).To(HaveField("Status", 409))
	})

	It("applies a repeated operation once, and ignores a late duplicate of a fence", func() {
		r := startStandin(nil)
		Expect(r.control.SetFault(ctx, standin.ClassOperations, standin.PlatformFault{RepeatNext: 2})).To(Succeed())
		Expect(r.platform.Reboot(ctx, operation)).To(Succeed())
		Eventually(func() string { return r.instance("w001").Operation }, "10s").Should(Equal("op1"))
		Expect(r.instance("w001").Boots).To(Equal(2))
		Expect(r.platform.Fence(ctx, "w001", "f1")).To(Succeed())
		Expect(r.instance("w001").State).To(Equal(platform.StateGone))
		Expect(r.control.SetState(ctx, "w001", platform.StateLive)).To(Succeed())
		Expect(r.platform.Fence(ctx, "w001", "f1")).To(Succeed())
		Expect(r.instance("w001").State).To(Equal(platform.StateLive))
	})

	It("lets requests in flight finish, and rejects a second operation meanwhile", func() {
		r := startStandin(nil)
		done := make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			resp, err := r.get(httpClient(), "w001", "r1", "300")
			if err == nil {
				_, err = decodeAnswer(resp)
			}
			done <- err
		}()
		Eventually(r.runs, "10s").Should(HaveLen(1))
		Expect(r.platform.Reboot(ctx, operation)).To(Succeed())
		Expect(r.platform.Reboot(ctx, platform.Operation{ID: "op2", Instance: "w001", Pool: "tabs"})).
			To(HaveField("Status", 409))
		Eventually(done, "10s").Should(Receive(BeNil()))
		Eventually(func() string { return r.instance("w001").Operation }, "10s").Should(Equal("op1"))
		Expect(r.runs()[0]).To(And(HaveField("Completed", true), HaveField("Cut", false)))
	})

	It("counts the requests that a planned reboot cuts after the drain limit", func() {
		r := startStandin(func(o *standin.Options) { o.DrainLimit = 1 })
		go func() { _, _ = r.get(httpClient(), "w001", "r1", "60000") }()
		Eventually(r.runs, "10s").Should(HaveLen(1))
		Expect(r.platform.Reboot(ctx, operation)).To(Succeed())
		Eventually(func() (standin.Violations, error) { return r.control.Violations(ctx) }, "10s").
			Should(HaveField("CutByOperation", 1))
		Expect(r.runs()[0]).To(HaveField("Cut", true))
	})

	It("distinguishes voluntary from forced unavailability", func() {
		r := startStandin(func(o *standin.Options) { o.Reboot = time.Hour })
		for _, id := range []string{"w001", "w002", "w003"} {
			Expect(r.control.SetPool(ctx, id, "tabs")).To(Succeed())
		}
		Expect(r.control.ResetAvailability(ctx)).To(Succeed())
		Expect(r.platform.Reboot(ctx, operation)).To(Succeed())
		Expect(r.platform.Fence(ctx, "w002", "f1")).To(Succeed())
		a, err := r.control.Availability(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Pools["tabs"]).To(Equal(standin.PoolAvailability{MinLive: 1, MaxVoluntaryDown: 1,
			MaxForcedDown: 1, MinUnforced: 2, Now: standin.PoolCount{Live: 1, VoluntaryDown: 1, ForcedDown: 1}}))
	})

	It("is aborted when the instance is lost, and can be requested again", func() {
		r := startStandin(func(o *standin.Options) { o.Reboot = time.Hour })
		Expect(r.platform.Reboot(ctx, operation)).To(Succeed())
		Expect(r.control.SetState(ctx, "w001", platform.StateGone)).To(Succeed())
		Expect(r.control.SetState(ctx, "w001", platform.StateLive)).To(Succeed())
		ms := int64(1)
		Expect(r.control.ApplySettings(ctx, standin.Settings{RebootMillis: &ms})).To(Succeed())
		Eventually(func() string {
			Expect(r.platform.Reboot(ctx, operation)).To(Succeed())
			return r.instance("w001").Operation
		}, "10s").Should(Equal("op1"))
	})
})

var _ = Describe("Instance list", func() {
	It("lags, and wakes a long poll when the change becomes visible", func() {
		r := startStandin(func(o *standin.Options) { o.Lag = 200 * time.Millisecond })
		first, err := r.platform.Instances(ctx, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Instances).To(HaveLen(5))
		Expect(r.control.PutEntry(ctx, "e2", "b", "127.0.0.1:2")).To(Succeed())
		changedAt := time.Now()
		list, err := r.platform.Instances(ctx, first.Version, 30*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Instances).To(HaveLen(6))
		// The call returns after the change was made, hence the margin.
		Expect(time.Since(changedAt)).To(BeNumerically(">", 100*time.Millisecond))
		same, err := r.platform.Instances(ctx, list.Version, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(same).To(Equal(platform.InstanceList{Version: list.Version, Instances: []platform.Instance{}}))
	})
})

var _ = Describe("Tasks", func() {
	It("runs a task once per id and ends it when the instance goes down", func() {
		r := startStandin(nil)
		Expect(r.control.SetJob(ctx, "j", standin.JobFactors{UsageFactor: 2})).To(Succeed())
		Expect(r.control.SetFailing(ctx, "w003", true)).To(Succeed())
		tasks := []platform.Task{
			{ID: "run", Job: "j", Instance: "w001", Cores: 2, LeaseMillis: 60_000},
			{ID: "large", Job: "j", Instance: "w001", Cores: 17, LeaseMillis: 60_000},
			{ID: "bad", Job: "j", Instance: "w003", Cores: 1, LeaseMillis: 60_000},
			{ID: "stop", Job: "j", Instance: "w002", Cores: 1, LeaseMillis: 60_000},
		}
		Expect(r.platform.Start(ctx, tasks)).To(Succeed())
		Expect(r.platform.Stop(ctx, []string{"stop", "unknown"})).To(Succeed())
		Expect(r.platform.Start(ctx, tasks)).To(Succeed())
		states := func() map[string]platform.TaskState {
			out := map[string]platform.TaskState{}
			reports, err := r.platform.Reports(ctx)
			Expect(err).NotTo(HaveOccurred())
			for _, t := range reports {
				out[t.ID] = t.State
				if t.ID == "run" && t.State == platform.TaskRunning {
					Expect(t.UsedCores).To(Equal(4.0))
				}
			}
			return out
		}
		Expect(states()).To(Equal(map[string]platform.TaskState{"run": platform.TaskRunning,
			"large": platform.TaskRejected, "bad": platform.TaskFailed, "stop": platform.TaskStopped}))
		Expect(r.control.SetState(ctx, "w001", platform.StateGone)).To(Succeed())
		Expect(states()).To(HaveKeyWithValue("run", platform.TaskStopped))
	})
})
