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
	// stride is the number of bytes between two places where the connection is
	// cut. It is odd, so that over a sweep every part of a line is met.
	stride = 13
	// sweep is more than the bytes of a health check and a request, or of
	// their answers.
	sweep = 900
	// chargeBytes is the size of a charge's body: it makes a cut inside the
	// body as likely as one inside the header.
	chargeBytes = 200
)

var charge = strings.Repeat("c", chargeBytes)

var _ = Describe("A request refused as not run", Ordered, ContinueOnFailure, func() {
	var (
		c    *harness.Cluster
		link *harness.EndpointLink
	)
	BeforeAll(func() {
		c = formed(1)
		link = c.LinkEndpoint(worker)
	})
	BeforeEach(func() {
		Expect(c.Standin.SetEndpointFault(GinkgoT().Context(), worker, standin.EndpointFault{})).To(Succeed())
		link.Renew()
	})

	// The connection to the only endpoint breaks after so many bytes, at every
	// place of the health check, the request and the answer in turn, on new
	// connections and on ones that were kept. The caller of a charge is told
	// "no" where not one byte of the charge was sent, and "unknown" from the
	// first byte on: the endpoint may have read all of it.
	DescribeTable("did not run, wherever its connection broke", func(d harness.Direction, kept bool) {
		v := judge(c)
		for n := 0; n < sweep; n += stride {
			link.Renew()
			if kept {
				Expect(v.send(fmt.Sprintf("warm-%d", n), http.MethodGet, "")).To(Equal(dispatch.RanYes))
			}
			link.CutAfter(d, n)
			v.send(fmt.Sprintf("charge-%d", n), http.MethodPost, charge)
			link.Renew()
		}
		v.check()
		Expect(v.count(dispatch.RanUnknown)).NotTo(BeZero())
		Expect(v.count(dispatch.RanYes)).NotTo(BeZero())
		if !kept {
			Expect(v.count(dispatch.RanNo)).NotTo(BeZero())
		}
	},
		Entry("on the way there, new connection", harness.ToEndpoint, false),
		Entry("on the way there, kept connection", harness.ToEndpoint, true),
		Entry("on the way back, new connection", harness.FromEndpoint, false),
		Entry("on the way back, kept connection", harness.FromEndpoint, true),
	)

	// What the endpoint itself does at each step of a request: it refuses the
	// connection, refuses the request, or runs it and answers nothing, half, or
	// a failure of its own. The deadline is minutes away; the caller has its
	// final answer at once.
	It("did not run, whatever the endpoint did", func() {
		v := judge(c)
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
				Expect(c.Standin.SetEndpointFault(GinkgoT().Context(), worker, f.fault)).To(Succeed())
				Expect(v.send(fmt.Sprintf("%s-%d", name, n), http.MethodPost, charge)).To(Equal(f.want), name)
				Expect(c.Standin.SetEndpointFault(GinkgoT().Context(), worker, standin.EndpointFault{})).To(Succeed())
			}
		}
		link.Refuse()
		Expect(v.send("no-listener", http.MethodPost, charge)).To(Equal(dispatch.RanNo))
		v.check()
	})

	// The endpoint refuses one request as not run, and says so again when the
	// next one on the connection has run. The second caller must not be told
	// that its charge did not run, and the entry must not believe it: it would
	// send the charge again. Where the endpoint does not say which request it
	// refuses, its word proves nothing.
	DescribeTable("is not refused by the late answer to another", func(unnamed bool) {
		v := judge(c)
		Expect(v.send("warm", http.MethodGet, "")).To(Equal(dispatch.RanYes))
		for n := range 3 {
			Expect(c.Standin.SetEndpointFault(GinkgoT().Context(), worker,
				standin.EndpointFault{NotRun: true, RepeatLate: true, NoRequestID: unnamed, Next: 1})).To(Succeed())
			for m := range 2 {
				v.send(fmt.Sprintf("charge-%d-%d", n, m), http.MethodPost, charge)
			}
		}
		v.check()
		if unnamed {
			Expect(v.count(dispatch.RanNo)).To(BeZero(), "an unnamed refusal was believed")
		}
	},
		Entry("that names its request", false),
		Entry("that names no request", true),
	)

	// The caller announces a body on a slow line. The entry refuses the request
	// for what stands in its head, and says so while the body is still on its
	// way. Were it to read the body first, the refusal would be held back for as
	// long as the caller takes to send what nobody wants.
	DescribeTable("is told before a body comes that nobody wants",
		func(path string, want dispatch.Type, header ...string) {
			got, err := withoutBody(c.Entry(0), path, header...)
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Type).To(Equal(want))
			Expect(got.Ran).To(Equal(dispatch.RanNo))
		},
		Entry("unknown service", "/nobody/x", dispatch.TypeUnknownService),
		Entry("key too long", "/"+solo+"/x", dispatch.TypeBadKey,
			"Idempotency-Key: "+strings.Repeat("k", idempotency.MaxKeyLen+1)),
	)

	// Far more requests come than the one worker has slots for. Those beyond
	// the queue are refused; callers learn it at once, although the deadline is
	// minutes away, and none of the refused ones runs.
	It("did not run under overload, and was told so at once", func() {
		l := c.Load(load.Options{Services: []string{solo}, Rate: 400, Count: 1600, WorkMillis: 50,
			PlainPostShare: 0.5, Concurrency: 1000, Seed: 3})
		sum := l.Wait()
		Expect(sum.Outcomes[load.RefusedNo]).NotTo(BeZero())
		Expect(sum.Outcomes[load.Answered]+sum.Outcomes[load.RefusedNo]).To(Equal(sum.Sent), "%+v", sum)
		AddReportEntry("overload", ReportEntryVisibilityAlways, fmt.Sprintf("%v", sum.Outcomes))
		c.Check()
	})
})
