package misbehaving_test

import (
	"bytes"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin"
	"cyclamenwheel/test/harness"
)

const (
	// entryMemoryMiB is the memory of an entry, entryBody the largest body that it takes and
	// entryBodies a crowd whose bodies exceed the memory.
	entryMemoryMiB = 96
	entryBody      = 1 << 20
	entryBodies    = 300
	// largeAnswer is just within the buffer in which an entry holds an answer.
	largeAnswer = 250 << 10
)

// startEntry runs a fleet whose only entry has little memory.
func startEntry() (*harness.Cluster, *harness.Process, *usage) {
	GinkgoHelper()
	c := harness.New(harness.Options{Entries: 1, Controls: 1,
		Settings: map[string]map[string]string{"limits": {"memory": fmt.Sprintf("%dMiB", entryMemoryMiB)}}})
	c.Form(harness.Manifest(1, harness.ServicePool{Name: pool, IDs: harness.WorkerIDs(1, 2, 3), MinAvailable: 1}))
	entry := c.Entry(0)
	return c, entry, watch(entry.PID(), strings.TrimPrefix(entry.CallerURL(), "http://"))
}

// expectEntryAnswers expects that an ordinary request is answered.
func expectEntryAnswers(entry *harness.Process, name string) {
	GinkgoHelper()
	Eventually(func() bool {
		r := harness.Request{ID: name, Service: pool}
		return entry.Send(r).IsAnswerTo(r)
	}, conditionTimeout).Should(BeTrue())
}

// expectEntryOutlives expects ordinary answers beside a crowd, and that the entry lives within its memory.
func expectEntryOutlives(entry *harness.Process, used *usage) {
	GinkgoHelper()
	for i := range answers {
		expectEntryAnswers(entry, fmt.Sprintf("ordinary-%d", i))
	}
	Expect(entry.Alive()).To(BeTrue())
	peak := used.peak()
	AddReportEntry("entry", peak.String())
	Expect(peak.memory).To(BeNumerically("<=", entryMemoryMiB<<20), peak.String())
}

var _ = Describe("an entry", func() {
	// Guards against large answers that nobody reads, each of which waits in a buffer of the entry.
	It("outlives clients that do not read large answers", func() {
		c, entry, used := startEntry()
		for _, id := range harness.WorkerIDs(1, 2, 3) {
			Expect(c.Standin.SetEndpointFault(GinkgoT().Context(), id, standin.EndpointFault{AnswerBytes: largeAnswer})).To(Succeed())
		}
		ask := bytes.Repeat([]byte("GET /"+pool+"/item/1 HTTP/1.1\r\nHost: e\r\n\r\n"), 200)
		gather(entryBodies, strings.TrimPrefix(entry.CallerURL(), "http://"), func(m *member) {
			m.unread = true
			m.writeBytes(ask)
		})
		expectEntryOutlives(entry, used)
	})

	// Guards against large bodies of legal size that stop short of their end and exceed the memory.
	DescribeTable("outlives bodies that stop just short of their end", func(lines string, framed func(string) string) {
		_, entry, used := startEntry()
		body := []byte(framed(strings.Repeat("b", entryBody-1)))
		gather(entryBodies, strings.TrimPrefix(entry.CallerURL(), "http://"), func(m *member) {
			m.post("/"+pool+"/order/1", lines)
			pieces(body, 64<<10, m.writeBytes)
		})
		expectEntryOutlives(entry, used)
	},
		Entry("with their length", length(entryBody), func(body string) string { return body }),
		Entry("in chunks", chunked, func(body string) string {
			var out strings.Builder
			pieces(body, 4<<10, func(piece string) { out.WriteString(chunk(piece)) })
			return out.String()
		}))
})
