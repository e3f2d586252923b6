package fleetops_test

import (
	"fmt"
	"testing"
	"time"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/fleetops"
)

const (
	benchPools        = 4
	busyInstanceShare = 5 // one in five instances is needed in a burst
)

// largeFleet returns a state with n instances, most of them switched off, and idle pools.
func largeFleet(n int) (*fleetops.State, []fleetops.Instance) {
	s := fleetops.NewState(limits("a"))
	list := make([]fleetops.Instance, n)
	for i := range list {
		name := fmt.Sprintf("instance-%06d", i)
		list[i] = fleetops.Instance{Name: name, Pool: sparePool, Up: true, Kind: "k", CPUMilli: instanceCPU}
		if i%busyInstanceShare == 0 {
			list[i].Pool, list[i].Endpoint = benchPool(i/busyInstanceShare%benchPools), "endpoint-"+name
		}
	}
	return s, list
}

func benchPool(n int) string { return fmt.Sprintf("pool-%d", n) }

// observe passes the instance list and the pools' summaries; pool 0 has the given backlog.
func observe(s *fleetops.State, now time.Duration, list []fleetops.Instance, backlogCoreMs float64) {
	s.ObserveInstances(now, list, sparePool)
	for p := range benchPools {
		sum := executor.Summary{Pool: benchPool(p)}
		for _, i := range list {
			if i.Pool == sum.Pool {
				sum.Endpoints++
				sum.CapacityMilli += i.CPUMilli
				sum.EndpointLoads = append(sum.EndpointLoads, executor.EndpointLoad{Endpoint: i.Endpoint})
			}
		}
		if p == 0 {
			sum.ReadyCoreMs = backlogCoreMs
		}
		s.ObservePool(now, now, sum.Pool, sum)
	}
}

// BenchmarkDecideBurst measures the round in which one pool asks for all instances there are.
func BenchmarkDecideBurst(b *testing.B) {
	for _, n := range []int{350, 1500, 6000, 12000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				b.StopTimer()
				s, list := largeFleet(n)
				observe(s, time.Second, list, float64(n)*instanceCPU*10)
				b.StartTimer()
				a := s.Decide(time.Second, wallStart)
				b.ReportMetric(float64(len(a.Orders)), "moves")
			}
		})
	}
}

// BenchmarkDecideAtRest measures a round in which nothing changes.
func BenchmarkDecideAtRest(b *testing.B) {
	for _, n := range []int{350, 1500, 6000, 12000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			s, list := largeFleet(n)
			observe(s, time.Second, list, 0)
			b.ResetTimer()
			for range b.N {
				s.Decide(time.Second, wallStart)
			}
		})
	}
}
