package manifest_test

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/manifest"
)

func TestManifest(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "manifest")
}

func validManifest() *manifest.Manifest {
	read := manifest.Class{Name: "read", Methods: []string{"GET"}, Idempotent: true, DeadlineMillis: 1000}
	write := manifest.Class{Name: "write", DeadlineMillis: 1000}
	return &manifest.Manifest{
		Version: manifest.Version, Deployment: "portlouis",
		Pools: []manifest.Pool{
			{Name: "tabs", Instances: manifest.Selection{IDs: []string{"w-001", "w-002"}},
				Jobs: []manifest.Job{{Name: "expiry", Team: "ledger", Tasks: 1, Cores: 1, MemoryMB: 512}}},
			{Name: "audit", Instances: manifest.Selection{Count: 3}},
		},
		Services: []manifest.Service{
			{Name: "tabs", Pool: "tabs", MinAvailable: 2, Classes: []manifest.Class{read, write}},
			{Name: "tips", Pool: "tabs", MinAvailable: 1, Classes: []manifest.Class{write}},
		},
		Teams:  []manifest.Team{{Name: "ledger", Cores: 4, MemoryMB: 4096}},
		Buffer: manifest.Buffer{Survive: manifest.DomainRack},
	}
}

func randomBytes(n int) []byte {
	data := make([]byte, n)
	r := rand.New(rand.NewPCG(1, 2))
	for i := range data {
		data[i] = byte(r.Uint32())
	}
	return data
}

var _ = Describe("Parse", func() {
	It("reads the examples, each within a fleet of 52 instances", func() {
		files, err := filepath.Glob("../../examples/*/manifest*.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(4))
		for _, file := range files {
			data, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			m, err := manifest.ParseAndValidate(data)
			Expect(err).NotTo(HaveOccurred(), file)
			total := 0
			for _, p := range m.Pools {
				Expect(p.Instances.Size()).To(And(BeNumerically(">=", 8), BeNumerically("<=", 12)), file)
				total += p.Instances.Size()
			}
			Expect(total).To(Equal(48), file)
		}
	})

	DescribeTable("rejects, with the position of the fault", func(text string, want manifest.Fault) {
		_, err := manifest.Parse([]byte(text))
		faults := manifest.Faults(err)
		Expect(faults).To(HaveLen(1), "%v", err)
		want.Detail = faults[0].Detail
		Expect(faults[0]).To(Equal(want))
	},
		Entry("an empty document", " \n", manifest.Fault{Reason: manifest.ReasonEmpty}),
		Entry("invalid JSON", "{\n \"version\": 1,,\n}",
			manifest.Fault{Reason: manifest.ReasonSyntax, Line: 2, Column: 15}),
		Entry("a truncated document", "{\"version\": 1",
			manifest.Fault{Reason: manifest.ReasonSyntax, Line: 1, Column: 14}),
		Entry("a second document", "{}\n{}",
			manifest.Fault{Reason: manifest.ReasonTrailingData, Line: 2, Column: 1}),
		Entry("an unknown field", "{\"pools\": [{},\n {\"nmae\": 1}]}",
			manifest.Fault{Path: "pools[1].nmae", Reason: manifest.ReasonUnknownField, Line: 2, Column: 3}),
		Entry("a field name in the wrong case", "{\"Version\": 1}",
			manifest.Fault{Path: "Version", Reason: manifest.ReasonUnknownField, Line: 1, Column: 2}),
		Entry("a duplicate field", "{\"version\": 1, \"version\": 2}",
			manifest.Fault{Path: "version", Reason: manifest.ReasonDuplicateField, Line: 1, Column: 16}),
		Entry("null", "{\"pools\": null}",
			manifest.Fault{Path: "pools", Reason: manifest.ReasonWrongType, Line: 1, Column: 11}),
		Entry("a fraction instead of an integer", "{\"pools\": [{\"instances\": {\"count\": 1.5}}]}",
			manifest.Fault{Path: "pools[0].instances.count", Reason: manifest.ReasonWrongType, Line: 1, Column: 36}),
		Entry("invalid UTF-8", "{\"deployment\": \"\xff\"}",
			manifest.Fault{Reason: manifest.ReasonSyntax, Line: 1, Column: 17}),
	)

	It("rejects 2 MiB of random bytes by size", func() {
		_, err := manifest.Parse(randomBytes(2 << 20))
		var tooLarge *manifest.TooLargeError
		Expect(errors.As(err, &tooLarge)).To(BeTrue())
		Expect(tooLarge.Bytes).To(Equal(2 << 20))
	})

	It("rejects random bytes within the size limit", func() {
		_, err := manifest.Parse(randomBytes(manifest.MaxBytes))
		Expect(manifest.Faults(err)).To(HaveLen(1))
	})
})

var _ = Describe("Validate", func() {
	It("accepts a budget equal to the size of the pool, since a spare can be moved in first", func() {
		Expect(validManifest().Validate()).To(Succeed())
	})

	DescribeTable("rejects", func(path string, reason manifest.Reason, change func(*manifest.Manifest)) {
		m := validManifest()
		change(m)
		var faults []string
		for _, f := range manifest.Faults(m.Validate()) {
			faults = append(faults, f.Path+" "+string(f.Reason))
		}
		Expect(faults).To(Equal([]string{path + " " + string(reason)}))
	},
		Entry(nil, "version", manifest.ReasonUnsupportedVersion, func(m *manifest.Manifest) { m.Version = 2 }),
		Entry(nil, "deployment", manifest.ReasonMalformedName, func(m *manifest.Manifest) { m.Deployment = "Port Louis" }),
		Entry(nil, "pools[1].name", manifest.ReasonDuplicateName, func(m *manifest.Manifest) { m.Pools[1].Name = "tabs" }),
		Entry(nil, "pools[0].instances.ids[1]", manifest.ReasonInstanceTwiceInPool,
			func(m *manifest.Manifest) { m.Pools[0].Instances.IDs[1] = "w-001" }),
		Entry(nil, "pools[1].instances.ids[0]", manifest.ReasonInstanceInTwoPools,
			func(m *manifest.Manifest) { m.Pools[1].Instances = manifest.Selection{IDs: []string{"w-002"}} }),
		Entry(nil, "pools[0].instances", manifest.ReasonSelectionAmbiguous,
			func(m *manifest.Manifest) { m.Pools[0].Instances.Count = 2 }),
		Entry(nil, "pools[1].instances", manifest.ReasonSelectionMissing,
			func(m *manifest.Manifest) { m.Pools[1].Instances.Count = 0 }),
		Entry(nil, "pools[1].instances.count", manifest.ReasonOutOfRange,
			func(m *manifest.Manifest) { m.Pools[1].Instances.Count = -1 }),
		Entry(nil, "pools[0].instances.select", manifest.ReasonSelectorWithIDs,
			func(m *manifest.Manifest) { m.Pools[0].Instances.Select = &manifest.Selector{} }),
		Entry(nil, "services[0].pool", manifest.ReasonUnknownPool, func(m *manifest.Manifest) { m.Services[0].Pool = "x" }),
		Entry(nil, "services[0].min_available", manifest.ReasonBudgetUnmeetable,
			func(m *manifest.Manifest) { m.Services[0].MinAvailable = 3 }),
		Entry(nil, "services[0].min_available", manifest.ReasonOutOfRange,
			func(m *manifest.Manifest) { m.Services[0].MinAvailable = 0 }),
		Entry(nil, "services[1].classes", manifest.ReasonNoClasses, func(m *manifest.Manifest) { m.Services[1].Classes = nil }),
		Entry(nil, "services[1].classes[0].deadline_ms", manifest.ReasonOutOfRange,
			func(m *manifest.Manifest) { m.Services[1].Classes[0].DeadlineMillis = 600_001 }),
		Entry(nil, "services[1].classes[0].methods[0]", manifest.ReasonUnknownMethod,
			func(m *manifest.Manifest) { m.Services[1].Classes[0].Methods = []string{"post"} }),
		Entry(nil, "services[1].classes[0].path_prefix", manifest.ReasonMalformedPath,
			func(m *manifest.Manifest) { m.Services[1].Classes[0].PathPrefix = "/a/../b" }),
		Entry(nil, "services[1].classes[0].priority", manifest.ReasonUnknownPriority,
			func(m *manifest.Manifest) { m.Services[1].Classes[0].Priority = "high" }),
		Entry(nil, "pools[0].jobs[0].team", manifest.ReasonUnknownTeam, func(m *manifest.Manifest) { m.Pools[0].Jobs[0].Team = "x" }),
		Entry(nil, "pools[0].jobs[0].cores", manifest.ReasonQuotaBelowTask, func(m *manifest.Manifest) { m.Pools[0].Jobs[0].Cores = 5 }),
		Entry(nil, "pools[0].jobs[0].tasks", manifest.ReasonOutOfRange, func(m *manifest.Manifest) { m.Pools[0].Jobs[0].Tasks = 0 }),
		Entry(nil, "teams[0].memory_mb", manifest.ReasonOutOfRange,
			func(m *manifest.Manifest) { m.Teams[0].MemoryMB, m.Pools[0].Jobs[0].Team = -1, "" }),
		Entry(nil, "buffer.survive", manifest.ReasonUnknownDomain, func(m *manifest.Manifest) { m.Buffer.Survive = "" }),
	)

	It("rejects an empty manifest and lists all faults", func() {
		m, err := manifest.Parse([]byte("{}"))
		Expect(err).NotTo(HaveOccurred())
		var reasons []manifest.Reason
		for _, f := range manifest.Faults(m.Validate()) {
			reasons = append(reasons, f.Reason)
		}
		Expect(reasons).To(ConsistOf(manifest.ReasonUnsupportedVersion, manifest.ReasonMalformedName,
			manifest.ReasonNoPools, manifest.ReasonUnknownDomain))
	})
})

var _ = Describe("queries", func() {
	It("finds pools, services and the strictest budget", func() {
		m := validManifest()
		Expect(m.MinAvailable("tabs")).To(Equal(2))
		Expect(m.MinAvailable("audit")).To(BeZero())
		Expect(m.ServicesOf("tabs")).To(HaveLen(2))
		_, known := m.FindPool("x")
		Expect(known).To(BeFalse())
	})

	It("matches the first class by method and whole path segments", func() {
		s := manifest.Service{Classes: []manifest.Class{
			{Name: "charge", Methods: []string{"POST"}, PathPrefix: "/charge"},
			{Name: "read", Methods: []string{"GET"}},
		}}
		class, ok := s.ClassFor("POST", "/charge/7")
		Expect(ok).To(BeTrue())
		Expect(class.Name).To(Equal("charge"))
		_, ok = s.ClassFor("POST", "/charges")
		Expect(ok).To(BeFalse())
		_, ok = s.ClassFor("GET", "")
		Expect(ok).To(BeTrue())
	})

	It("hashes the content independently of the layout", func() {
		a, err := manifest.Parse([]byte(`{"version":1,"deployment":"d","services":[]}`))
		Expect(err).NotTo(HaveOccurred())
		b, err := manifest.Parse([]byte("{ \"deployment\": \"d\",\n\"version\": 1}"))
		Expect(err).NotTo(HaveOccurred())
		first, err := a.Hash()
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Hash()).To(Equal(first))
		b.Deployment = "e"
		Expect(b.Hash()).NotTo(Equal(first))
	})
})

func hashOf(t *testing.T, m *manifest.Manifest) string {
	hash, err := m.Hash()
	if err != nil {
		t.Fatalf("hash: %v", err)
	}
	return hash
}

// FuzzParse checks that no input causes a panic, that every error has a type of this
// package, and that a parsed manifest is unchanged after encoding and parsing.
func FuzzParse(f *testing.F) {
	f.Add([]byte(strings.Repeat("[", 20_000)))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := manifest.Parse(data)
		if err != nil {
			if len(manifest.Faults(err)) == 0 {
				t.Fatalf("untyped parse error: %v", err)
			}
			return
		}
		if err := m.Validate(); err != nil && len(manifest.Faults(err)) == 0 {
			t.Fatalf("untyped validation error: %v", err)
		}
		encoded, err := m.Encode()
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		reparsed, err := manifest.Parse(encoded)
		if err != nil && len(encoded) <= manifest.MaxBytes {
			t.Fatalf("encoded manifest rejected: %v", err)
		}
		if err == nil && hashOf(t, reparsed) != hashOf(t, m) {
			t.Fatalf("changed by a round trip: %s", encoded)
		}
	})
}
