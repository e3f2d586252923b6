package misbehaving_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/test/harness"
)

const (
	// entryMemoryMiB is the memory of an entry, entryBody the largest body that it takes and
	// entryBodies a crowd whose bodies exceed the memory.
	entryMemoryMiB = 96
	entryBody      = 1 << 20
	entryBodies    = 300
)

// startEntry runs a fleet whose only entry has little memory.
func startEntry() (*harness.Process, *usage) {
	GinkgoHelper()
	c := harness.New(harness.Options{Entries: 1, Controls: 1,
		Settings: map[string]map[string]string{"limits": {"memory": fmt.Sprintf("%dMiB", entryMemoryMiB)}}})
	c.Form(harness.Manifest(1, harness.ServicePool{Name: pool, IDs: harness.WorkerIDs(1, 2, 3), MinAvailable: 1}))
	entry := c.Entry(0)
	return entry, watch(entry.PID(), strings.TrimPrefix(entry.CallerURL(), "http://"))
}

// expectEntryAnswers expects that an ordinary request is answered.
func expectEntryAnswers(entry *harness.Process, name string) {
	GinkgoHelper()
	Eventually(func() bool {
		r := harness.Request{ID: name, Service: pool}
		return entry.Send(r).IsAnswerTo(r)
	}, conditionTimeout).Should(BeTrue())
}

var _ = Describe("an entry", func() {
	// Guards against large bodies of legal size that stop short of their end and exceed the memory.
	DescribeTable("outlives bodies that stop just short of their end", func(lines string, framed func(string) string) {
		entry, used := startEntry()
		body := []byte(framed(strings.Repeat("b", entryBody-1)))
		gather(entryBodies, strings.TrimPrefix(entry.CallerURL(), "http://"), func(m *member) {
			m.post("/"+pool+"/order/1", lines)
			pieces(body, 64<<10, m.writeBytes)
		})
		for i := range answers {
			expectEntryAnswers(entry, fmt.Sprintf("ordinary-%d", i))
		}
		Expect(entry.Alive()).To(BeTrue())
		peak := used.peak()
		AddReportEntry("entry", peak.String())
		Expect(peak.memory).To(BeNumerically("<=", entryMemoryMiB<<20), peak.String())
	},
		Entry("with their length", length(entryBody), func(body string) string { return body }),
		Entry("in chunks", chunked, func(body string) string {
			var out strings.Builder
			pieces(body, 4<<10, func(piece string) { out.WriteString(chunk(piece)) })
			return out.String()
		}))
})
