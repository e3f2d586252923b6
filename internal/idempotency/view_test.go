package idempotency

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A view of an entry that has just joined", func() {
	joined := []Member{{ID: "a", BootID: "1", Zone: "north"}, {ID: "b", BootID: "1", Zone: "east"}}

	// An entry has joined but has not seen yet that all entries acknowledged it.
	// Others have, and send it claims. It must reply that the owner is changing,
	// which is retried: NoOwnerError is final and would refuse callers although
	// nothing has failed.
	It("reports a changing owner instead of no owner", func() {
		v := View{Pending: joined}
		_, err := v.owner(HashKey("tabs", "k"))
		Expect(err).To(BeAssignableToTypeOf(&ChangingOwnerError{}))
		Expect(isFinal(err)).To(BeFalse())
	})

	It("reports no owner if there are no members", func() {
		for _, v := range []View{{}, {Pending: []Member{}}} {
			_, err := v.owner(HashKey("tabs", "k"))
			Expect(err).To(BeAssignableToTypeOf(&NoOwnerError{}))
		}
	})
})
