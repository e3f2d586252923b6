package fleetops_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/fleetops"
)

const ordersPerSecond = 100

// Guards against messages, records and orders of one round that grow with the fleet: an owner's
// answer that names all endpoints of a large pool exceeds the size limit, no report arrives, and
// nothing is moved or maintained any more.
var _ = Describe("a pool of thousands of idle instances", func() {
	var f *fleet
	const instances = 1300

	BeforeEach(func() {
		f = newFleet(map[string]int{"a": instances, "b": 1})
		l := limits("a")
		l.OrdersPerSecond = ordersPerSecond
		f.state = fleetops.NewState(l)
		f.leaveOutVacating = true
	})

	It("is switched off as fast as the platform accepts orders, with a bounded number of names in each message", func() {
		orderedAt := map[time.Duration]int{}
		for range 200 {
			ordered := len(f.ordered)
			f.round("a", "b")
			orderedAt[f.now] += len(f.ordered) - ordered
			Expect(len(f.lastActions.VacateItems)).To(BeNumerically("<=", fleetops.MaxItemsPerCall))
			Expect(f.state.LoadsWanted("a")).To(BeNumerically("<=", fleetops.MaxLoads))
		}
		Expect(f.count("a")).To(BeNumerically("<", instances/20))
		Expect(mostWithinASecond(orderedAt)).To(BeNumerically("<=", ordersPerSecond))
	})

	It("is maintained by a wave that is told of some of its endpoints at a time", func() {
		f.state.ObserveWave(7, f.names("a"), 60*time.Second, instances, wallStart)
		for range 400 {
			f.round("a", "b")
			for _, due := range f.lastActions.Due {
				Expect(len(due)).To(BeNumerically("<=", fleetops.MaxDuePerCall))
			}
		}
		Expect(f.maintained()).To(HaveLen(instances))
	})

	It("gives a pool that needs instances the next orders", func() {
		for range 30 {
			f.round("a", "b")
		}
		Expect(f.ordered).NotTo(BeEmpty(), "instances are being switched off")
		before := len(f.ordered)
		f.ready["b"] = 40 * instanceCPU
		for range 2 * int(time.Second/roundInterval) {
			f.round("a", "b")
		}
		var first []string
		for _, op := range f.ordered[before:] {
			if op.To == "b" {
				first = append(first, op.Instance)
			}
		}
		Expect(len(first)).To(BeNumerically(">=", 15))
	})
})

// Guards against a burst of a large pool that finds two instances: all its jobs of the first two
// seconds, in which others are switched on, are late.
var _ = Describe("an idle pool", func() {
	DescribeTable("keeps a reserve that grows with the fleet",
		func(instances, kept int) {
			f := newFleet(map[string]int{"a": instances, "b": instances})
			f.leaveOutVacating = true
			for range 100 {
				f.round("a", "b")
			}
			Expect(f.count("a")).To(Equal(kept))
			Expect(f.count("b")).To(Equal(kept))
			moves := len(f.ordered)
			for range 20 {
				f.round("a", "b")
			}
			Expect(f.ordered).To(HaveLen(moves))
		},
		Entry("of 20", 10, 2), Entry("of 600", 300, 24), Entry("of 6000", 3000, 240))

	It("gets no instances to have a reserve", func() {
		f := newFleet(map[string]int{"a": 600, "b": 3})
		f.leaveOutVacating = true
		for range 100 {
			f.round("a", "b")
		}
		Expect(f.count("b")).To(Equal(3))
	})
})

// Guards against switching off twice as many instances as are not needed, because the owner's next
// summary was asked for before it was asked to vacate them.
var _ = Describe("a summary that was requested before operations began", func() {
	It("does not make the round begin as many again", func() {
		s, list := largeFleet(400)
		observe(s, time.Second, list, 0)
		s.Decide(time.Second, wallStart)
		observe(s, 4*time.Second, list, 0)
		begun := len(s.Decide(4*time.Second, wallStart).Events)
		Expect(begun).To(BeNumerically(">", 0))
		observe(s, 4*time.Second, list, 0)
		Expect(s.Decide(4050*time.Millisecond, wallStart).Events).To(BeEmpty())
	})
})

// Guards against switching an idle instance off and another one on at the same time.
var _ = Describe("a pool that needs instances", func() {
	It("gets those that another pool would switch off next", func() {
		f := newFleet(map[string]int{"a": 60, "b": 10, sparePool: 60})
		for range int(time.Second / roundInterval) {
			f.round("a", "b")
		}
		Expect(f.ordered).To(BeEmpty())
		f.ready["b"] = 40 * instanceCPU
		f.round("a", "b")
		f.round("a", "b")
		Expect(f.ordered).NotTo(BeEmpty())
		for _, op := range f.ordered {
			Expect(op.From).To(Equal("a"))
		}
	})
})

// Guards against a burst that waits for five seconds after the loss of a holder: instances that the
// predecessor may have ordered get no order for that long, and counted as waiting for theirs.
var _ = Describe("a successor that finds many orders of its predecessor", func() {
	It("gives a pool that needs instances those that nobody has ordered", func() {
		f := newFleet(map[string]int{"a": 900, "b": 5, sparePool: 50})
		f.leaveOutVacating, f.ordersPerSecond = true, ordersPerSecond
		l := limits("a")
		l.OrdersPerSecond = 10 * ordersPerSecond
		f.state = fleetops.NewState(l)
		for len(f.ordered) < 8*ordersPerSecond {
			f.round("a", "b")
		}
		f.takeOver()
		f.ready["b"] = 40 * instanceCPU
		before := len(f.ordered)
		for range int(time.Second / roundInterval) {
			f.round("a", "b")
		}
		Expect(f.ordered[before:]).To(ContainElement(HaveField("To", "b")))
	})
})

// mostWithinASecond is the largest number of orders in any second.
func mostWithinASecond(orderedAt map[time.Duration]int) int {
	most := 0
	for start := range orderedAt {
		sum := 0
		for at, n := range orderedAt {
			if at >= start && at < start+time.Second {
				sum += n
			}
		}
		most = max(most, sum)
	}
	return most
}

// Guards against a message to a pool's owner with an entry for each instance on its way.
var _ = Describe("the capacity announced to a pool's owner", func() {
	It("has a bounded number of entries and the right sum", func() {
		s, list := largeFleet(2000)
		observe(s, time.Second, list, 2000*instanceCPU*10)
		moves := len(s.Decide(time.Second, wallStart).Events)
		onTheirWay := s.IncomingCapacity(time.Second, []string{benchPool(0)})[benchPool(0)]
		Expect(len(onTheirWay)).To(BeNumerically("<=", 21))
		Expect(sumCPU(onTheirWay)).To(Equal(moves * instanceCPU))
	})
})

func sumCPU(list []executor.IncomingCapacity) int {
	sum := 0
	for _, c := range list[:len(list)-1] { // the last entry is what could be requested
		sum += c.CPUMilli
	}
	return sum
}
