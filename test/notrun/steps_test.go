package notrun_test

import (
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/idempotency"
	"cyclamenwheel/internal/standin"
	"cyclamenwheel/internal/standin/load"
	"cyclamenwheel/test/harness"
)

const (
	// cutStep is the number of bytes between two positions at which the
	// connection is closed. It is odd, so that the positions fall on every
	// part of a line over the range.
	cutStep = 13
	// cutRange exceeds the bytes of a health check and a request, and those
	// of their answers.
	cutRange = 900
	// chargeBytes is the size of a request body, large enough that a cut is
	// as likely inside the body as inside the header.
	chargeBytes = 200
)

var chargeBody = strings.Repeat("c", chargeBytes)

var _ = Describe("A request refused as not run", Ordered, ContinueOnFailure, func() {
	var (
		c    *harness.Cluster
		link *harness.EndpointLink
	)
	BeforeAll(func() {
		c = newCluster(1)
		link = c.LinkEndpoint(soloWorker)
	})
	BeforeEach(func() {
		Expect(c.Standin.SetEndpointFault(GinkgoT().Context(), soloWorker, standin.EndpointFault{})).To(Succeed())
		link.Renew()
	})

	// The connection to the only endpoint closes after a number of bytes that
	// sweeps over the health check, the request and the answer, on new and on
	// reused connections. The refusal of a POST request says that it did not run
	// only if no byte of it was sent; from the first byte on it says "unknown", as
	// the endpoint may have read the whole request.
	DescribeTable("did not run, wherever its connection closed", func(d harness.Direction, kept bool) {
		v := newCallerOutcomes(c)
		for n := 0; n < cutRange; n += cutStep {
			link.Renew()
			if kept {
				Expect(v.send(fmt.Sprintf("warm-%d", n), http.MethodGet, "")).To(Equal(dispatch.RanYes))
			}
			link.CutAfter(d, n)
			v.send(fmt.Sprintf("charge-%d", n), http.MethodPost, chargeBody)
			link.Renew()
		}
		v.checkAgainstRuns()
		Expect(v.count(dispatch.RanUnknown)).NotTo(BeZero())
		Expect(v.count(dispatch.RanYes)).NotTo(BeZero())
		if !kept {
			Expect(v.count(dispatch.RanNo)).NotTo(BeZero())
		}
	},
		Entry("towards the endpoint, new connection", harness.ToEndpoint, false),
		Entry("towards the endpoint, reused connection", harness.ToEndpoint, true),
		Entry("from the endpoint, new connection", harness.FromEndpoint, false),
		Entry("from the endpoint, reused connection", harness.FromEndpoint, true),
	)

	// The endpoint fails at each step of a request: it refuses the connection or
	// the request, or runs the request and returns no answer, a truncated or
	// mislabelled answer, or an error status. The deadline is minutes away, but the
	// caller must get its final answer without waiting for it.
	It("did not run, whatever the endpoint did", func() {
		v := newCallerOutcomes(c)
		faults := map[string]struct {
			fault standin.EndpointFault
			want  dispatch.Ran
		}{
			"refuse":      {standin.EndpointFault{Refuse: true}, dispatch.RanNo},
			"not-run":     {standin.EndpointFault{NotRun: true}, dispatch.RanNo},
			"close":       {standin.EndpointFault{CloseAfterRun: true}, dispatch.RanUnknown},
			"cut":         {standin.EndpointFault{CutBody: true}, dispatch.RanUnknown},
			"wrong-id":    {standin.EndpointFault{WrongRequestID: true}, dispatch.RanUnknown},
			"failed":      {standin.EndpointFault{FailStatus: http.StatusInternalServerError}, dispatch.RanYes},
			"unavailable": {standin.EndpointFault{FailStatus: http.StatusServiceUnavailable}, dispatch.RanYes},
		}
		for name, f := range faults {
			for n := range 3 {
				link.Renew()
				Expect(c.Standin.SetEndpointFault(GinkgoT().Context(), soloWorker, f.fault)).To(Succeed())
				Expect(v.send(fmt.Sprintf("%s-%d", name, n), http.MethodPost, chargeBody)).To(Equal(f.want), name)
				Expect(c.Standin.SetEndpointFault(GinkgoT().Context(), soloWorker, standin.EndpointFault{})).To(Succeed())
			}
		}
		link.Refuse()
		Expect(v.send("no-listener", http.MethodPost, chargeBody)).To(Equal(dispatch.RanNo))
		v.checkAgainstRuns()
	})

	// The endpoint refuses one request as not run, and repeats the refusal after
	// it has run the next request on the connection. The entry must not apply the
	// repeated refusal to the second request: it would report it as not run or
	// send it again. A refusal without a request id is no evidence for any request.
	DescribeTable("is not refused because of the late answer to another", func(unnamed bool) {
		v := newCallerOutcomes(c)
		Expect(v.send("warm", http.MethodGet, "")).To(Equal(dispatch.RanYes))
		for n := range 3 {
			Expect(c.Standin.SetEndpointFault(GinkgoT().Context(), soloWorker,
				standin.EndpointFault{NotRun: true, RepeatLate: true, NoRequestID: unnamed, Next: 1})).To(Succeed())
			for m := range 2 {
				v.send(fmt.Sprintf("charge-%d-%d", n, m), http.MethodPost, chargeBody)
			}
		}
		v.checkAgainstRuns()
		if unnamed {
			Expect(v.count(dispatch.RanNo)).To(BeZero(), "a refusal without a request id was accepted as evidence")
		}
	},
		Entry("with its request id", false),
		Entry("without a request id", true),
	)

	// The caller announces a body and sends it slowly. The entry refuses the
	// request because of its header, and must answer before the body arrives:
	// reading the body first would delay the refusal for as long as the caller
	// takes to send it.
	DescribeTable("is answered before its body has been sent",
		func(path string, want dispatch.Type, header ...string) {
			got, err := sendWithoutBody(c.Entry(0), path, header...)
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Type).To(Equal(want))
			Expect(got.Ran).To(Equal(dispatch.RanNo))
		},
		Entry("unknown service", "/nobody/x", dispatch.TypeUnknownService),
		Entry("key too long", "/"+poolSolo+"/x", dispatch.TypeBadKey,
			"Idempotency-Key: "+strings.Repeat("k", idempotency.MaxKeyLen+1)),
	)

	// Load: far more requests than the one worker has slots for. Those beyond the
	// queue are refused immediately, although the deadline is minutes away, and
	// no refused request runs.
	It("did not run under overload, and was refused immediately", func() {
		l := c.Load(load.Options{Services: []string{poolSolo}, Rate: 400, Count: 1600, WorkMillis: 50,
			PlainPostShare: 0.5, Concurrency: 1000, Seed: 3})
		sum := l.Wait()
		Expect(sum.Outcomes[load.RefusedNo]).NotTo(BeZero())
		Expect(sum.Outcomes[load.Answered]+sum.Outcomes[load.RefusedNo]).To(Equal(sum.Sent), "%+v", sum)
		AddReportEntry("overload", ReportEntryVisibilityAlways, fmt.Sprintf("%v", sum.Outcomes))
		c.Check()
	})
})
