package settings_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/settings"
)

var _ = Describe("the limits of clients", func() {
	It("follow the memory of the process unless they are set", func() {
		s, err := settings.LoadEntry(writeSettings(validEntrySettings + "[limits]\nmemory = 256MiB\ndescriptors = 500\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Clients.Limits().Memory).To(BeEquivalentTo(64 << 20))
		Expect(s.Clients.Limits().Connections).To(Equal(250))
		s, err = settings.LoadEntry(writeSettings(validEntrySettings + "[clients]\nmemory = 32MiB\nconnections = 40\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Clients.Limits().Memory).To(BeEquivalentTo(32 << 20))
		Expect(s.Clients.Limits().Connections).To(Equal(40))
	})

	// Guards against an entry that refuses every large body for want of memory, although its settings allow
	// them.
	It("hold the largest body", func() {
		Expect(faultsOf(validEntrySettings + "max_body = 64MiB\n")).To(ContainElement(And(
			HaveField("Key", "max_body"), HaveField("Reason", settings.ReasonInconsistent))))
	})

	DescribeTable("are checked", func(line string) {
		Expect(faultsOf(validEntrySettings + "[clients]\n" + line + "\n")).NotTo(BeEmpty())
	},
		Entry("negative connections", "connections = -1"),
		Entry("more connections than ports", "connections = 70000"),
		Entry("memory without a unit", "memory = 100"),
		Entry("no time for a body", "body_timeout = 0s"),
		Entry("an answer that may wait for an hour", "answer_timeout = 1h"))

	It("stand once in the reference, as each section does", func() {
		for _, table := range []settings.Table{settings.EntryTable(), settings.ControlTable(), settings.NodeTable()} {
			var b strings.Builder
			Expect(table.Reference(&b)).To(Succeed())
			for _, section := range []string{"limits", "clients", "callers"} {
				Expect(strings.Count(b.String(), "\n["+section+"]\n")).To(BeNumerically("<=", 1), table.Daemon)
			}
		}
	})
})
