package load_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin"
	"cyclamenwheel/internal/standin/load"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Load")
}

// run sends load directly to one endpoint, which ignores idempotency keys, so that the driver
// must detect repeated runs.
func run(fault standin.EndpointFault, change func(*load.Options)) load.Summary {
	ctx := context.Background()
	s := standin.New(standin.Options{Fleet: standin.FleetSpec{Zones: []standin.ZoneSpec{{Name: "a", Racks: 1}},
		InstancesPerRack: 1, Cores: 1, MemoryMB: 1, Slots: 8, Connections: 64, IDPrefix: "w"}})
	Expect(s.Start()).To(Succeed())
	defer s.Close()
	control := standin.NewControlClient(s.ControlURL())
	defer control.Close()
	Expect(control.SetEndpointFault(ctx, "w001", fault)).To(Succeed())
	all, err := control.Instances(ctx)
	Expect(err).NotTo(HaveOccurred())
	opts := load.Options{Entries: []string{"http://" + all[0].Addr}, Services: []string{"tabs", "orders"},
		Concurrency: 4, Count: 100, PostShare: 0.5, ControlURL: s.ControlURL(), Timeout: 2 * time.Second}
	if change != nil {
		change(&opts)
	}
	sum, err := load.Run(ctx, opts)
	Expect(err).NotTo(HaveOccurred())
	return sum
}

var _ = Describe("Load", func() {
	It("passes if every request runs once", func() {
		sum := run(standin.EndpointFault{}, nil)
		Expect(sum.OK()).To(BeTrue())
		Expect(sum.Outcomes).To(Equal(map[load.Kind]int{load.Answered: 100}))
		Expect(sum.HistoryRuns).To(Equal(100))
	})

	It("detects keys that ran twice", func() {
		sum := run(standin.EndpointFault{}, func(o *load.Options) { o.PostShare, o.RepeatShare = 1, 1 })
		Expect(sum.Doubled.Count).To(Equal(100))
		Expect(sum.OK()).To(BeFalse())
	})

	It("detects answers to other requests", func() {
		sum := run(standin.EndpointFault{WrongRequestID: true}, func(o *load.Options) { o.PostShare = 0 })
		Expect(sum.WrongAnswers.Count).To(Equal(100))
	})

	It("counts truncated answers as broken, not lost", func() {
		sum := run(standin.EndpointFault{CutBody: true, Next: 10}, nil)
		Expect(sum.Outcomes).To(HaveKeyWithValue(load.Broken, BeNumerically(">", 0)))
		Expect(sum.Lost.Count).To(BeZero())
		Expect(sum.OK()).To(BeTrue())
	})

	It("does not pass if nothing was answered", func() {
		sum := run(standin.EndpointFault{CutBody: true}, nil)
		Expect(sum.Outcomes).To(Equal(map[load.Kind]int{load.Broken: 100}))
		Expect(sum.OK()).To(BeFalse())
	})
})
