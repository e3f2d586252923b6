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

// rounds is the number of repetitions of a fault that involves two requests.
const rounds = 5

var _ = Describe("A caller", Ordered, ContinueOnFailure, func() {
	var a *soloClient
	BeforeAll(func() { a = &soloClient{cluster: newCluster()} })
	BeforeEach(func() { a.setFault(standin.EndpointFault{}) })

	// An answer arrives after the caller's deadline. The caller gets a timeout at
	// its deadline; the entry must not reuse the connection, or the next caller
	// would get the late answer.
	DescribeTable("does not get the late answer to another request", func(f standin.EndpointFault) {
		a.expectOwnAnswer(a.nextRequest(""))
		for range rounds {
			a.setFault(f)
			r := a.nextRequest("")
			r.Deadline = shortDeadline
			got := a.send(r)
			Expect(got.Status).To(Equal(http.StatusGatewayTimeout))
			Expect(got.Problem.Ran).To(Equal(dispatch.RanUnknown))
			a.setFault(standin.EndpointFault{})
			for range 3 {
				a.expectOwnAnswer(a.nextRequest(""))
			}
		}
	},
		Entry("slow", standin.EndpointFault{LatencyMillis: 2 * shortDeadline.Milliseconds()}),
		Entry("held back until the next request", standin.EndpointFault{HoldBack: true}),
		Entry("slow, without a request id", standin.EndpointFault{
			LatencyMillis: 2 * shortDeadline.Milliseconds(), NoRequestID: true}),
	)

	// The endpoint sends its answer twice: the second copy right after the first,
	// or before its answer to the next request on the connection. The next caller
	// must not get the copy as its answer, even if the answer has no request id or
	// both callers chose the same id.
	DescribeTable("does not get an answer that was sent twice", func(f standin.EndpointFault, id string) {
		for range rounds {
			a.setFault(f)
			a.expectOwnAnswer(a.nextRequest(id))
			for range 3 {
				r := a.nextRequest(id)
				expectOwnAnswerOrError(r, a.send(r))
			}
		}
	},
		Entry("immediately", standin.EndpointFault{Duplicate: true, Next: 1}, ""),
		Entry("immediately, without a request id", standin.EndpointFault{Duplicate: true, NoRequestID: true, Next: 1}, ""),
		Entry("immediately, same id", standin.EndpointFault{Duplicate: true, Next: 1}, "same"),
		Entry("late", standin.EndpointFault{RepeatLate: true, Next: 1}, ""),
		Entry("late, without a request id", standin.EndpointFault{RepeatLate: true, NoRequestID: true, Next: 1}, ""),
		Entry("late, same id", standin.EndpointFault{RepeatLate: true, Next: 1}, "same"),
	)

	// The endpoint swaps the answers of two concurrent requests. Neither caller
	// may get the other's answer, although both answers are complete.
	DescribeTable("does not get the answer to a concurrent request", func(id string) {
		a.setFault(standin.EndpointFault{Cross: true})
		for range rounds {
			pair := []harness.Request{a.nextRequest(id), a.nextRequest(id)}
			var wg sync.WaitGroup
			for _, r := range pair {
				wg.Go(func() {
					defer GinkgoRecover()
					expectOwnAnswerOrError(r, a.send(r))
				})
			}
			wg.Wait()
		}
	},
		Entry("with another id", ""),
		Entry("with the same id", "same"),
	)

	// The answer has the request id of another request, so it may belong to any
	// caller.
	It("does not get an answer with the id of another request", func() {
		a.setFault(standin.EndpointFault{WrongRequestID: true})
		for range rounds {
			r := a.nextRequest("")
			got := a.send(r)
			Expect(got.Refused).To(BeTrue())
			Expect(got.Problem.Ran).To(Equal(dispatch.RanUnknown))
		}
		a.setFault(standin.EndpointFault{})
		a.expectOwnAnswer(a.nextRequest(""))
	})

	// The connection to the endpoint closes in the middle of an answer. The entry
	// does not forward a short answer at all; the first part of a long one has
	// been sent already, so the entry must close the caller's connection too, or
	// an HTTP client would treat the answer as complete.
	DescribeTable("does not get a truncated answer as complete", func(f standin.EndpointFault) {
		f.CutBody = true
		a.setFault(f)
		for range rounds {
			got := a.send(a.nextRequest(""))
			Expect(got.Err != nil || got.Refused).To(BeTrue(), "%d bytes passed as complete", len(got.Body))
		}
		f.CutBody = false
		a.setFault(f)
		a.expectOwnAnswer(a.nextRequest(""))
	},
		Entry("short", standin.EndpointFault{}),
		Entry("short, in chunks", standin.EndpointFault{Chunked: true}),
		Entry("long", standin.EndpointFault{AnswerBytes: largeAnswer}),
		Entry("long, in chunks", standin.EndpointFault{AnswerBytes: largeAnswer, Chunked: true}),
	)
})
