package ctl_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/ctl"
	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/platform"
	"cyclamenwheel/internal/pools"
	"cyclamenwheel/internal/standin"
)

// startPlatformWithLog starts a platform whose log holds the given records, and
// returns its URL.
func startPlatformWithLog(records ...fleetlog.Record) string {
	GinkgoHelper()
	s := standin.New(standin.Options{Fleet: standin.FleetSpec{
		Zones: []standin.ZoneSpec{{Name: "a", Racks: 1}}, InstancesPerRack: 2,
		Cores: 1, MemoryMB: 1, Slots: 1, Connections: 1, IDPrefix: "w"}})
	Expect(s.Start()).To(Succeed())
	DeferCleanup(s.Close)
	client := platform.NewClient(s.URL(), nil)
	for _, r := range records {
		data, err := r.Encode()
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Append(context.Background(), data)
		Expect(err).NotTo(HaveOccurred())
	}
	return s.URL()
}

func newRecord(kind fleetlog.Kind, epoch uint64, body any) fleetlog.Record {
	GinkgoHelper()
	r, err := fleetlog.NewRecord(kind, "control-1", epoch, body)
	Expect(err).NotTo(HaveOccurred())
	return r
}

// manifestListing returns the publication of a manifest that lists one instance
// in each of two pools.
func manifestListing(tabs, charges string) manifest.Publish {
	GinkgoHelper()
	m := manifest.Manifest{
		Version: manifest.Version, Deployment: "d", Buffer: manifest.Buffer{Survive: manifest.DomainInstance},
		Pools: []manifest.Pool{
			{Name: "tabs", Instances: manifest.Selection{IDs: []string{tabs}}},
			{Name: "charges", Instances: manifest.Selection{IDs: []string{charges}}},
		},
	}
	raw, err := m.Encode()
	Expect(err).NotTo(HaveOccurred())
	return manifest.Publish{Raw: raw, Operator: "op"}
}

var _ = Describe("settled", func() {
	startFleet := func(m manifest.Publish) string {
		return startPlatformWithLog(
			newRecord(fleetlog.KindPublish, 0, m),
			newRecord(fleetlog.KindLeaseClaim, 0, planlease.Claim{Holder: "control-1", BootID: "b"}),
			newRecord(fleetlog.KindSeen, 1, pools.Seen{List: 1, Facts: []pools.Fact{
				{ID: "w001", BootID: "b1", Zone: "a", Rack: "r", Pool: "tabs"},
				{ID: "w002", BootID: "b2", Zone: "a", Rack: "r", Pool: "charges"},
			}}))
	}
	It("succeeds when every pool has the instances listed", func() {
		code, _, errs := run("", "settled", "--platform", startFleet(manifestListing("w001", "w002")), "--timeout", "10s")
		Expect(code).To(Equal(ctl.ExitOK), errs)
	})
	// The manifest swaps two instances between pools. Every pool has the right
	// number of instances before the planner has begun the swap; a script of an
	// operator must not continue at that point.
	It("waits while pools have the right number of the wrong instances", func() {
		code, _, errs := run("", "settled", "--platform", startFleet(manifestListing("w002", "w001")), "--timeout", "500ms")
		Expect(code).To(Equal(ctl.ExitTimeout), errs)
		Expect(errs).To(ContainSubstring("w001 is to move to charges"))
	})
})
