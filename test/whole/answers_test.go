package whole_test

import (
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/standin"
	"cyclamenwheel/test/harness"
)

// rounds is how often a fault that concerns two answers is made.
const rounds = 5

var _ = Describe("A caller", Ordered, ContinueOnFailure, func() {
	var a *callers
	BeforeAll(func() { a = &callers{cluster: formed()} })
	BeforeEach(func() { a.fault(standin.EndpointFault{}) })

	// The caller's deadline passes, and the answer comes later. The caller is
	// told so at its deadline; the connection that the late answer arrives on
	// is not used again, or the next caller would be given that answer.
	DescribeTable("does not get an answer that comes late to another", func(f standin.EndpointFault) {
		a.expectOwn(a.next(""))
		for range rounds {
			a.fault(f)
			r := a.next("")
			r.Deadline = shortDeadline
			got := a.send(r)
			Expect(got.Status).To(Equal(http.StatusGatewayTimeout))
			Expect(got.Problem.Ran).To(Equal(dispatch.RanUnknown))
			a.fault(standin.EndpointFault{})
			for range 3 {
				a.expectOwn(a.next(""))
			}
		}
	},
		Entry("slow", standin.EndpointFault{LatencyMillis: 2 * shortDeadline.Milliseconds()}),
		Entry("held back until the next request", standin.EndpointFault{HoldBack: true}),
		Entry("slow and unnamed", standin.EndpointFault{
			LatencyMillis: 2 * shortDeadline.Milliseconds(), NoRequestID: true}),
	)

	// The endpoint answers twice: at once, or ahead of its answer to the next
	// request on the connection. That next caller must not take the repetition
	// for its own answer, not even where the endpoint names no request or both
	// callers chose the same id.
	DescribeTable("does not get an answer that was sent twice", func(f standin.EndpointFault, id string) {
		for range rounds {
			a.fault(f)
			a.expectOwn(a.next(id))
			for range 3 {
				r := a.next(id)
				expectNothingElse(r, a.send(r))
			}
		}
	},
		Entry("at once", standin.EndpointFault{Duplicate: true, Next: 1}, ""),
		Entry("at once, unnamed", standin.EndpointFault{Duplicate: true, NoRequestID: true, Next: 1}, ""),
		Entry("at once, same id", standin.EndpointFault{Duplicate: true, Next: 1}, "same"),
		Entry("late", standin.EndpointFault{RepeatLate: true, Next: 1}, ""),
		Entry("late, unnamed", standin.EndpointFault{RepeatLate: true, NoRequestID: true, Next: 1}, ""),
		Entry("late, same id", standin.EndpointFault{RepeatLate: true, Next: 1}, "same"),
	)

	// The endpoint exchanges the answers of two requests that run at the same
	// time. Neither caller may get the other's, although both answers are whole.
	DescribeTable("does not get the answer of a request beside it", func(id string) {
		a.fault(standin.EndpointFault{Cross: true})
		for range rounds {
			pair := []harness.Request{a.next(id), a.next(id)}
			var wg sync.WaitGroup
			for _, r := range pair {
				wg.Go(func() {
					defer GinkgoRecover()
					expectNothingElse(r, a.send(r))
				})
			}
			wg.Wait()
		}
	},
		Entry("with another id", ""),
		Entry("with the same id", "same"),
	)

	// The endpoint names another request in its answer: it may be anybody's.
	It("does not get an answer that names another request", func() {
		a.fault(standin.EndpointFault{WrongRequestID: true})
		for range rounds {
			r := a.next("")
			got := a.send(r)
			Expect(got.Refused).To(BeTrue())
			Expect(got.Problem.Ran).To(Equal(dispatch.RanUnknown))
		}
		a.fault(standin.EndpointFault{})
		a.expectOwn(a.next(""))
	})

	// The endpoint's connection breaks in the middle of an answer. A short one
	// is not passed on at all; of a long one the beginning has gone out already,
	// and the caller's connection must break too, so that no HTTP client takes
	// it for complete.
	DescribeTable("does not take a part for the whole", func(f standin.EndpointFault) {
		f.CutBody = true
		a.fault(f)
		for range rounds {
			got := a.send(a.next(""))
			Expect(got.Err != nil || got.Refused).To(BeTrue(), "%d bytes passed as complete", len(got.Body))
		}
		f.CutBody = false
		a.fault(f)
		a.expectOwn(a.next(""))
	},
		Entry("short", standin.EndpointFault{}),
		Entry("short, in chunks", standin.EndpointFault{Chunked: true}),
		Entry("long", standin.EndpointFault{AnswerBytes: largeAnswer}),
		Entry("long, in chunks", standin.EndpointFault{AnswerBytes: largeAnswer, Chunked: true}),
	)
})
