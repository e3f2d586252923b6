package keys_test

import (
	"fmt"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/idempotency"
	"cyclamenwheel/internal/standin/load"
	"cyclamenwheel/test/harness"
)

const (
	// measureFor is how long each load runs.
	measureFor = 3 * time.Second
	// defaultCeiling is the default of appends_per_second; lowCeiling is far
	// below what the load would append without a ceiling.
	defaultCeiling = 250
	lowCeiling     = 40
	ceilingRate    = 200
)

// journalled counts the records of keys in the log.
type journalled struct{ claims, finishes, perClaim int }

func (j journalled) appends() int { return j.claims + j.finishes }

func countJournal(c *harness.Cluster) journalled {
	GinkgoHelper()
	var n journalled
	_, all := c.FoldWith(nil)
	for _, a := range all {
		switch a.Record.Kind {
		case fleetlog.Kind(idempotency.KindClaims):
			n.claims++
			if a.Keys != nil && a.Keys.Claims != nil {
				n.perClaim += len(a.Keys.Claims.Claims)
			}
		case fleetlog.Kind(idempotency.KindFinishes):
			n.finishes++
		}
	}
	return n
}

// measured is one load with keys beside the same load without.
type measured struct {
	rate         float64
	plain, keyed load.Summary
	journal      journalled
	took         time.Duration
}

func measure(c *harness.Cluster, rate float64, seed uint64) measured {
	GinkgoHelper()
	opts := load.Options{Services: []string{pool}, Rate: rate, Duration: measureFor}
	keyed, plain := opts, opts
	keyed.PostShare, keyed.Seed = 1, seed
	plain.PlainPostShare, plain.Seed = 1, seed+1
	before, began := countJournal(c), time.Now()
	k, p := c.Load(keyed), c.Load(plain)
	m := measured{rate: rate, keyed: k.Finish(), plain: p.Finish()}
	awaitIdle(c)
	m.took = time.Since(began)
	after := countJournal(c)
	m.journal = journalled{
		claims: after.claims - before.claims, finishes: after.finishes - before.finishes,
		perClaim: after.perClaim - before.perClaim,
	}
	return m
}

// awaitIdle waits until no entry has anything to journal.
func awaitIdle(c *harness.Cluster) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		for _, e := range c.Entries() {
			st, err := keysOf(e)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(st.Reports+st.QueuedClaims+st.QueuedFinishes+st.Awaiting).To(BeZero(), e.ID)
		}
	}, harness.Timeout, harness.PollInterval).Should(Succeed())
}

func (m measured) row() string {
	claims := max(1, m.journal.claims)
	return fmt.Sprintf("| %.0f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f |",
		m.rate, m.plain.Latency.P50, m.keyed.Latency.P50, m.keyed.Latency.P50-m.plain.Latency.P50,
		m.plain.Latency.P99, m.keyed.Latency.P99, m.keyed.Latency.P99-m.plain.Latency.P99,
		float64(m.journal.appends())/m.took.Seconds(), float64(m.journal.perClaim)/float64(claims))
}

// ceiling is the most records that owners may append in a time: each appends at
// once, and then at most its share of the ceiling. What the test measures is
// longer than what the owners do, so that the bound holds on any machine.
func ceiling(perSecond int, took time.Duration) int {
	return int(float64(perSecond)*took.Seconds()) + entryCount
}

var _ = Describe("What claims cost", func() {
	// Charges with a key and the same charges without are sent at the same time
	// at the same rate. The figures are printed, not judged; what is judged is
	// that everything was answered once and the ceiling of appends held.
	It("is measured", func() {
		c := formed(entryCount, nil)
		rows := "| keyed/s | plain p50 ms | keyed p50 ms | added p50 | plain p99 ms | keyed p99 ms | added p99 | appends/s | claims a record |\n"
		for i, rate := range []float64{50, 200, 800} {
			m := measure(c, rate, uint64(10*i))
			rows += m.row() + "\n"
			Expect(m.journal.appends()).To(BeNumerically("<=", ceiling(defaultCeiling, m.took)))
			Expect(m.journal.perClaim).To(BeNumerically(">=", m.keyed.Outcomes[load.Answered]))
		}
		AddReportEntry("claims", rows, ReportEntryVisibilityAlways)
		c.Check()
	})

	// More charges come in a second than records may be appended. Batches grow
	// and not the rate: the log is there for everybody, and owners that took
	// more of it would hold up moves and manifests.
	It("stays under the ceiling of appends_per_second", func() {
		c := formed(entryCount, map[string]string{"appends_per_second": strconv.Itoa(lowCeiling)})
		m := measure(c, ceilingRate, 1)
		GinkgoWriter.Printf("ceiling %d/s: %d appends in %s for %d claims\n", lowCeiling, m.journal.appends(), m.took, m.journal.perClaim)
		AddReportEntry("ceiling", m.row(), ReportEntryVisibilityAlways)
		Expect(m.journal.appends()).To(BeNumerically("<=", ceiling(lowCeiling, m.took)))
		Expect(m.keyed.Outcomes[load.Answered]).To(BeNumerically(">", m.journal.claims), "the load is too small to meet the ceiling")
		c.Check()
	})
})
