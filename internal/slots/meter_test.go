package slots

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the demand of an entry", func() {
	start := time.Unix(1000, 0)

	It("is the mean over time and not the peak", func() {
		var m Meter
		m.Set(start, 20, 0)
		m.Set(start.Add(100*time.Millisecond), 0, 0)
		Expect(m.Read(start.Add(time.Second))).To(Equal(2))
	})

	// An entry that keeps its queue short under overload refuses most callers.
	// Its demand must still be high.
	It("counts waiting and refused work", func() {
		var m Meter
		m.Set(start, 4, 500*time.Millisecond)
		for range 100 {
			m.Refused(50 * time.Millisecond)
		}
		Expect(m.Read(start.Add(time.Second))).To(Equal(4 + 1 + 5))
	})
})
