package explain_test

import (
	"io"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/explain"
)

var _ = Describe("explanations of refusals from logs", func() {
	const job = "00000000000000a1"
	gate := `{"time":"2026-03-01T10:00:02Z","level":"INFO","msg":"submission refused at the gate","node":"n-1","job":"` + job + `","queue":"q","account":"a","pool":"tabs","priority":1,"admit":0.25,"wait_ms":3100,"notice_age_ms":420,"epoch":7,"reason":"gate"}`
	owner := `{"time":"2026-03-01T10:00:01Z","level":"INFO","msg":"job refused","node":"n-3","pool":"tabs","epoch":7,"job":"` + job + `","task":"","reason":"backlog","age_ms":12,"account":"a","queue":"q","wait_ms":4200,"slack_ms":900}`
	other := `{"time":"2026-03-01T10:00:01Z","msg":"job refused","node":"n-3","job":"other","reason":"account-limit","detail":"` + job + `"}`

	fromLogs := func(logs ...string) (explain.Explanation, error) {
		var readers []io.Reader
		for _, l := range logs {
			readers = append(readers, strings.NewReader(l))
		}
		return explain.FromLogs(readers, job)
	}

	// Guards against an explanation that lacks the figures, or their age, that a refusal was
	// based on, or takes them from another job's line.
	It("gives reason, inputs and their age in the order of time", func() {
		e, err := fromLogs("not JSON "+job+"\n"+gate+"\n", other+"\n"+owner)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Is).To(ConsistOf(ContainSubstring("refused 2 times, last 10:00:02.000: queue q, account a, pool tabs")))
		Expect(e.Why).To(HaveExactElements(
			ContainSubstring("10:00:01.000: backlog by owner n-3, epoch 7: predicted wait 4200 ms, 900 ms would have been in time; the work ahead was summed 12 ms before"),
			And(ContainSubstring("gate at node n-1"), ContainSubstring("25%"), ContainSubstring("priority 1"), ContainSubstring("(epoch 7) predicted a wait of 3100 ms, 420 ms before"))))
		Expect(e.Unblock).To(HaveLen(2))
	})

	// Guards against an empty explanation of a job that no log has.
	It("reports a job without lines", func() {
		_, err := fromLogs(other)
		Expect(err).To(BeAssignableToTypeOf(&explain.NotInLogsError{}))
	})
})
