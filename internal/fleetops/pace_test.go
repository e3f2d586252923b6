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
		Expect(f.count("a")).To(BeNumerically("<", 10))
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
