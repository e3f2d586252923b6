package placement_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/placement"
	"cyclamenwheel/internal/platform"
)

func report(task int, cores float64, memory int, asOf int64) platform.TaskReport {
	return platform.TaskReport{
		ID: fmt.Sprint(task), Job: "j", State: platform.TaskRunning,
		UsedCores: cores, UsedMemoryMB: memory, AsOfMillis: asOf,
	}
}

var _ = Describe("Estimating sizes", func() {
	declared := job("j", 20, 8)

	It("keeps the declared size until enough has been reported", func() {
		e := &placement.Estimator{}
		for i := range 7 {
			e.Observe(declared, report(i, 1, 100, 60_000), 0, 60_000)
		}
		Expect(e.Size(declared).Cores).To(Equal(8.0))
		e.Observe(declared, report(7, 1, 100, 60_000), 0, 60_000)
		Expect(e.Size(declared).Cores).To(BeNumerically("~", 1.1, 1e-9))
		Expect(e.Size(declared).MemoryMB).To(Equal(115))
	})

	It("uses a high quantile, so that the few large tasks count", func() {
		e := &placement.Estimator{}
		for i := range 20 {
			cores := 1.0
			if i >= 17 {
				cores = 4
			}
			e.Observe(declared, report(i, cores, 100, 60_000), 0, 60_000)
		}
		Expect(e.Size(declared).Cores).To(BeNumerically("~", 4.4, 1e-9))
	})

	// Reports are 30 s old and the tasks grow by 10 MB/s. Placement by the
	// reported usage would fill a worker with memory that is no longer free,
	// and the worker would kill a task.
	It("extrapolates growth over the lag", func() {
		e := &placement.Estimator{}
		for i := range 8 {
			e.Observe(declared, report(i, 1, 1000, 60_000), 0, 90_000)
			e.Observe(declared, report(i, 1, 1100, 70_000), 0, 100_000)
		}
		Expect(e.Size(declared).MemoryMB).To(Equal(1610), "1100 MB plus 30 s at 10 MB/s, with the margin")
	})

	It("ignores a task's first seconds and repeated reports", func() {
		e := &placement.Estimator{}
		for i := range 8 {
			e.Observe(declared, report(i, 0, 1, 5_000), 0, 60_000)
		}
		for range 20 {
			e.Observe(declared, report(1, 1, 100, 60_000), 0, 60_000)
		}
		Expect(e.Size(declared).Cores).To(Equal(8.0))
	})

	It("discards the samples of a job that is published with a change", func() {
		e := &placement.Estimator{}
		for i := range 8 {
			e.Observe(declared, report(i, 1, 100, 60_000), 0, 60_000)
		}
		changed := declared
		changed.Cores = 9
		Expect(e.Size(changed).Cores).To(Equal(9.0))
	})
})
