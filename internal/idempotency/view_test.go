package idempotency

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A view of an entry that has just joined", func() {
	joined := []Member{{ID: "a", BootID: "1", Zone: "north"}, {ID: "b", BootID: "1", Zone: "east"}}

	// An entry has joined and does not know yet that all have acknowledged its
	// joining; others know, and ask it for its keys. They must hear that the
	// owner is changing, which has them ask again: "no owner" is final, and
	// their callers would be refused although nothing has failed.
	It("says that owners are changing, not that there are none", func() {
		v := View{Pending: joined}
		_, err := v.owner(HashKey("tabs", "k"))
		Expect(err).To(BeAssignableToTypeOf(&ChangingOwnerError{}))
		Expect(final(err)).To(BeFalse())
	})

	It("says that there are none where there are none", func() {
		for _, v := range []View{{}, {Pending: []Member{}}} {
			_, err := v.owner(HashKey("tabs", "k"))
			Expect(err).To(BeAssignableToTypeOf(&NoOwnerError{}))
		}
	})
})
