package dispatch

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/idempotency"
)

// fakeClaims returns the configured decisions and records its calls.
type fakeClaims struct {
	mu       sync.Mutex
	decide   func(c idempotency.Claim) (idempotency.Decision, *idempotency.Answer, error)
	finished []idempotency.Outcome
	answers  []*idempotency.Answer
	claims   []idempotency.Claim
}

func (f *fakeClaims) Begin(_ context.Context, c idempotency.Claim) (idempotency.Decision, *idempotency.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claims = append(f.claims, c)
	if f.decide == nil {
		return idempotency.DecisionRun, nil, nil
	}
	return f.decide(c)
}

func (f *fakeClaims) Finish(_ idempotency.Claim, o idempotency.Outcome, a *idempotency.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finished = append(f.finished, o)
	f.answers = append(f.answers, a)
}

func (f *fakeClaims) outcomes() []idempotency.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]idempotency.Outcome(nil), f.finished...)
}

var _ = Describe("requests with a key", func() {
	It("reports the response for replay", func() {
		claims := &fakeClaims{}
		w := newWorker("w1", echo)
		e := newEntry(Options{Claims: claims}, w.Endpoint)
		Expect(e.do("POST", "/tabs/charge", "5", HeaderIdempotencyKey, "k").status).To(Equal(200))
		Expect(claims.outcomes()).To(Equal([]idempotency.Outcome{idempotency.OutcomeAnswered}))
		Expect(string(claims.answers[0].Body)).To(Equal("POST /tabs/charge 5"))
	})

	It("does not claim for idempotent classes", func() {
		claims := &fakeClaims{}
		e := newEntry(Options{Claims: claims}, newWorker("w1", echo).Endpoint)
		Expect(e.do("GET", "/tabs/x", "", HeaderIdempotencyKey, "k").status).To(Equal(200))
		Expect(claims.claims).To(BeEmpty())
	})

	It("has fingerprints that depend on method, path and body", func() {
		prints := map[[16]byte]bool{}
		for _, c := range []*call{
			{method: "POST", target: "/a", body: []byte("b")}, {method: "POST", target: "/ab"},
			{method: "PUT", target: "/a", body: []byte("b")}, {method: "POST", target: "/a", body: []byte("c")},
		} {
			prints[fingerprint(c)] = true
		}
		Expect(prints).To(HaveLen(4))
	})

	DescribeTable("responds without running the request",
		func(d idempotency.Decision, a *idempotency.Answer, status int, ran Ran, body string) {
			claims := &fakeClaims{decide: func(idempotency.Claim) (idempotency.Decision, *idempotency.Answer, error) {
				return d, a, nil
			}}
			w := newWorker("w1", echo)
			e := newEntry(Options{Claims: claims}, w.Endpoint)
			out := e.do("POST", "/tabs/charge", "5", HeaderIdempotencyKey, "k")
			Expect(out.status).To(Equal(status))
			Expect(out.problem.Ran).To(Equal(ran))
			Expect(out.body).To(ContainSubstring(body))
			Expect(w.runs.Load()).To(BeZero())
			Expect(claims.outcomes()).To(BeEmpty())
		},
		Entry("replay", idempotency.DecisionReplay, &idempotency.Answer{Status: 201, Body: []byte("kept")}, 201, Ran(""), "kept"),
		Entry("finished", idempotency.DecisionFinished, nil, 409, RanYes, string(TypeKeyFinished)),
		Entry("unknown", idempotency.DecisionUnknown, nil, 503, RanUnknown, string(TypeKeyUnknown)),
		Entry("conflict", idempotency.DecisionConflict, nil, 409, RanNo, string(TypeKeyConflict)),
	)

	// The caller repeats a charge whose first response was lost, while the
	// owner of the key is unreachable. The refusal must not say "did not run":
	// the caller would charge again with another key although the first charge
	// may have run.
	It("reports unknown if the claim fails without proof that nothing ran", func() {
		claims := &fakeClaims{decide: func(idempotency.Claim) (idempotency.Decision, *idempotency.Answer, error) {
			return 0, nil, context.DeadlineExceeded
		}}
		e := newEntry(Options{Claims: claims}, newWorker("w1", echo).Endpoint)
		out := e.do("POST", "/tabs/charge", "5", HeaderIdempotencyKey, "k")
		Expect(out.status).To(Equal(503))
		Expect(out.problem.Ran).To(Equal(RanUnknown))
	})

	// The endpoint reads the charge and closes the connection. The caller gets
	// 502 with ran "unknown" at once, and the claim is closed as unknown so
	// that a repeated request is not run either.
	It("closes the claim as unknown if the response is lost", func() {
		claims := &fakeClaims{}
		w := newWorker("w1", func(int64, *http.Request, []byte, net.Conn) bool { return false })
		e := newEntry(Options{Claims: claims}, w.Endpoint)
		out := e.do("POST", "/tabs/charge", "", HeaderIdempotencyKey, "k")
		Expect(out.status).To(Equal(502))
		Expect(out.problem.Ran).To(Equal(RanUnknown))
		Expect(w.runs.Load()).To(Equal(int64(1)))
		Expect(claims.outcomes()).To(Equal([]idempotency.Outcome{idempotency.OutcomeUnknown}))
	})

	It("releases the claim if the request certainly did not run", func() {
		claims := &fakeClaims{}
		e := newEntry(Options{Claims: claims}, Endpoint{Instance: "w1", Addr: unusedAddr(), Slots: 1})
		out := e.do("POST", "/tabs/charge", "5", HeaderIdempotencyKey, "k")
		Expect(out.problem.Ran).To(Equal(RanNo))
		Expect(claims.outcomes()).To(Equal([]idempotency.Outcome{idempotency.OutcomeNotRun}))
	})

	It("records a response that is too large to keep as finished only", func() {
		claims := &fakeClaims{}
		big := strings.Repeat("x", DefaultBuffer*2)
		w := newWorker("w1", func(_ int64, _ *http.Request, _ []byte, c net.Conn) bool {
			reply(c, 200, "", big)
			return true
		})
		e := newEntry(Options{Claims: claims}, w.Endpoint)
		Expect(e.do("POST", "/tabs/charge", "5", HeaderIdempotencyKey, "k").body).To(Equal(big))
		Eventually(claims.outcomes).Should(Equal([]idempotency.Outcome{idempotency.OutcomeAnswered}))
		Expect(claims.answers[0]).To(BeNil())
	})
})
