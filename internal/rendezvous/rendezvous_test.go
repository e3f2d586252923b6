package rendezvous

import (
	"encoding/binary"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRendezvous(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rendezvous")
}

var _ = Describe("rendezvous", func() {
	members := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7"}
	const keys = 20000
	key := func(i int) []byte { return binary.BigEndian.AppendUint64(nil, uint64(i)) }

	It("distributes keys evenly and moves only the keys of a member that left", func() {
		count := map[string]int{}
		without := slices.Delete(slices.Clone(members), 2, 3)
		for i := range keys {
			before, _ := Owner(key(i), members)
			after, _ := Owner(key(i), without)
			count[before]++
			if before != "e3" {
				Expect(after).To(Equal(before))
			} else {
				Expect(after).To(Equal(Ranked(key(i), members)[1]))
			}
		}
		for _, m := range members {
			Expect(count[m]).To(BeNumerically("~", keys/len(members), keys/len(members)/10))
		}
	})

	It("has no owner without members and doesn't depend on their order", func() {
		_, ok := Owner(key(1), nil)
		Expect(ok).To(BeFalse())
		reversed := slices.Clone(members)
		slices.Reverse(reversed)
		Expect(Ranked(key(1), reversed)).To(Equal(Ranked(key(1), members)))
		owner, ok := Owner(key(1), reversed)
		Expect(ok).To(BeTrue())
		Expect(owner).To(Equal(Ranked(key(1), members)[0]))
	})
})
