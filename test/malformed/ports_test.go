package malformed_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/test/harness"
)

// defaultMaxBody is the setting's default.
const defaultMaxBody = 1 << 20

var _ = Describe("An entry's HTTP ports", func() {
	BeforeEach(func() { t.begin() })

	// Broken, hostile and oversized requests come in on the callers' port. Each
	// is refused or its connection closed; the next good request is answered,
	// and nothing of them is left.
	It("outlive what callers send", func() {
		path := "/" + poolTabs + "/item/1"
		for _, in := range append(httpInputs(path), callerInputs(path, defaultMaxBody)...) {
			By(in.name)
			throw(t.callers(), in.data)
			t.answers()
		}
		t.outlives()
	})

	// The same on the operators' port.
	It("outlive what operators send", func() {
		for _, in := range httpInputs("/dump?section=" + strings.Repeat("s", 100)) {
			By(in.name)
			throw(t.operators(), in.data)
			t.answers()
		}
		t.outlives()
	})

	// What callers get is counted where operators look.
	It("are counted", func() {
		const answered = `cyclamen_requests_total{service="` + poolTabs + `",outcome="answered"}`
		const nobody = `cyclamen_requests_total{service="",outcome="unknown-service"}`
		before, err := t.entry.Metrics()
		Expect(err).NotTo(HaveOccurred())
		t.answers()
		Expect(t.entry.Send(harness.Request{ID: "lost", Service: "nobody"}).Status).To(Equal(http.StatusNotFound))
		after, err := t.entry.Metrics()
		Expect(err).NotTo(HaveOccurred())
		Expect(after[answered]).To(Equal(before[answered] + 1))
		Expect(after[nobody]).To(Equal(before[nobody] + 1))
	})
})
