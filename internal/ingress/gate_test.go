package ingress

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/admission"
	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/published"
	"cyclamenwheel/internal/routing"
	"cyclamenwheel/internal/shards"
	"cyclamenwheel/platform"
)

func TestIngress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ingress")
}

// fakeCalls is an owner that answers with what the test sets.
type fakeCalls struct {
	Calls
	result    shards.Result
	known     shards.KnownAnswer
	submitted []shards.SubmitCall
	questions []shards.KnownQuestion
}

func (f *fakeCalls) Submit(_ context.Context, in shards.SubmitCall) shards.Result {
	f.submitted = append(f.submitted, in)
	return f.result
}

func (f *fakeCalls) Known(_ context.Context, q shards.KnownQuestion) shards.KnownAnswer {
	f.questions = append(f.questions, q)
	return f.known
}

var _ = Describe("submissions through the gate", func() {
	var (
		calls *fakeCalls
		gate  *admission.Gate
		logs  *bytes.Buffer
		i     *Ingress
	)
	key := admission.GateKey{Pool: "p", Priority: 1, Account: "a"}
	closed := func(version uint64) admission.Notice {
		return admission.Notice{Epoch: 1, Version: version, Admit: 0, WaitMs: 900, RetryAfterMs: 2000}
	}
	submit := func() platform.Answer {
		return i.Submit(context.Background(), &routing.Queue{Name: "q", Service: "p", Terms: routing.Terms{Priority: 1}}, "a", jobs.Job{ID: "1"})
	}

	BeforeEach(func() {
		calls, gate, logs = &fakeCalls{known: shards.KnownAnswer{Answered: true, Notice: closed(2)}}, admission.NewGate(1), &bytes.Buffer{}
		i = New(published.New(published.Options{}), calls, gate, slog.New(slog.NewTextHandler(logs, nil)))
		gate.Observe(planlease.Boottime(), key, closed(1))
	})

	// Guards against calls to an overloaded owner for submissions that it would refuse.
	It("refuses without a submission, and reports each refusal once", func() {
		want := platform.Answer{Status: http.StatusTooManyRequests, RetryAfter: 2 * time.Second, Problem: "not-accepted", Detail: "gate"}
		Expect(submit()).To(Equal(want))
		Expect(submit()).To(Equal(want))
		Expect(calls.submitted).To(BeEmpty())
		Expect(calls.questions).To(HaveLen(2))
		Expect(calls.questions[1]).To(Equal(shards.KnownQuestion{Pool: "p", ID: "1", Class: admission.MeterClass{Priority: 1, Account: "a"}, Refused: 1}))
		Expect(gate.TakeRefused(key)).To(BeZero())
		Expect(logs.String()).To(And(ContainSubstring("submission refused at the gate"), ContainSubstring("admit=0 wait_ms=900 notice_age_ms="), ContainSubstring("epoch=1")))
	})

	// Guards against a caller that is told that a job was not accepted that runs: it lost the first answer.
	It("never refuses a repetition of an accepted job", func() {
		calls.known.Known = true
		for range 20 {
			Expect(submit().Status).To(Equal(http.StatusOK))
		}
		Expect(calls.submitted).To(HaveLen(20))
	})

	// Guards against a refusal of a job that a silent owner may have accepted.
	It("sends a submission when the owner does not answer, with its count of refused ones", func() {
		submit() // refused, and reported
		calls.known = shards.KnownAnswer{}
		calls.result = shards.Result{Outcome: shards.OutcomeUnavailable}
		gate.AddRefused(key, 7)
		Expect(submit().Status).To(Equal(http.StatusServiceUnavailable))
		Expect(calls.submitted).To(HaveLen(1))
		Expect(calls.submitted[0].Refused).To(Equal(7))
		Expect(gate.TakeRefused(key)).To(Equal(7), "the owner has not counted them")
	})

	// Guards against a class that stays refused after the overload at a node that it rarely reaches.
	It("sends a submission when the class is no longer refused any", func() {
		calls.known.Notice.Admit = 1
		calls.result.Notice = &admission.Notice{Epoch: 1, Version: 3, Admit: 1}
		Expect(submit().Status).To(Equal(http.StatusOK))
		Expect(submit().Status).To(Equal(http.StatusOK))
		Expect(calls.questions).To(HaveLen(1))
		Expect(gate.TakeRefused(key)).To(BeZero())
	})

	// Guards against decisions at nodes whose deployment has not enabled overload control.
	It("sends everything without a gate", func() {
		i = New(published.New(published.Options{}), calls, nil, slog.New(slog.DiscardHandler))
		Expect(submit().Status).To(Equal(http.StatusOK))
		Expect(calls.submitted).To(HaveLen(1))
		Expect(calls.questions).To(BeEmpty())
	})
})
