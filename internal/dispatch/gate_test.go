package dispatch

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/admission"
	"cyclamenwheel/internal/manifest"
)

var _ = Describe("the gate", func() {
	// Requests of a kind take 400 ms, and the only slot is held and never
	// released. A second request with a deadline of 1 s can no longer complete
	// after 600 ms. It must be refused then and not at the deadline, although
	// no slot is released to trigger a check of the queue.
	It("refuses a request that can no longer complete in time while no slot is free", func() {
		const serviceTime, deadline = 400 * time.Millisecond, time.Second
		one := Endpoint{Instance: "w1", BootID: "b", Slots: 1, Zone: "a"}
		table := NewRouteTable(1, []manifest.Service{{Name: "tabs", Pool: "tabs"}}, map[string][]Endpoint{"tabs": {one}})
		g := NewHandler(Options{Routes: func() *RouteTable { return table }}).gate("tabs")
		for range 100 {
			g.queue.Observe("k", serviceTime)
		}
		request := func() admission.Request {
			now := time.Now()
			return admission.Request{Caller: "a", Kind: "k", Arrived: now, Deadline: now.Add(deadline)}
		}
		held, refused := g.acquire(context.Background(), request(), "")
		Expect(refused).To(BeNil())
		Expect(held).NotTo(BeNil())
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		defer cancel()
		s, refused := g.acquire(ctx, request(), "")
		Expect(s).To(BeNil())
		Expect(refused).NotTo(BeNil())
		Expect(refused.Reason).To(Equal(admission.ReasonTooLate))
		Expect(time.Since(began)).To(BeNumerically("<", deadline-100*time.Millisecond))
	})
})
