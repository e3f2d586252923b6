package executor

import "time"

// utilization measures how much of a pool's capacity runs tasks while more tasks wait than fit. Load:
// an owner that is short of processor time, or endpoints that don't answer, keep a full pool partly
// idle. Counted with its whole capacity, it accepts jobs that end too late to be of use.
type utilization struct {
	// busyShare is a moving average, 0 before the first sample.
	busyShare float64
	at        time.Duration
}

const (
	// utilizationWindow is the time constant of the average.
	utilizationWindow = 700 * time.Millisecond
	// minUtilization keeps the pool accepting jobs: with none, the share could not rise again.
	minUtilization = 0.25
	// saturatedMs is how long the free capacity would be busy with the work that could start at once
	// for the pool to count as full.
	saturatedMs = 300.0
)

// share returns the share of the capacity that can be expected to run tasks, up to 1.
func (u *utilization) share() float64 {
	if u.busyShare == 0 {
		return 1
	}
	return u.busyShare
}

// sample adds a sample. While the pool is not full, the share returns to 1: nothing shows that the
// rest of the capacity could not be used.
func (u *utilization) sample(now time.Duration, busy, capacity, startableWork float64) {
	if capacity <= 0 {
		return
	}
	value := 1.0
	if startableWork > (capacity-busy)*saturatedMs {
		value = min(1, max(minUtilization, busy/capacity))
	}
	if u.busyShare == 0 {
		u.busyShare = 1
	}
	weight := min(1, float64(now-u.at)/float64(utilizationWindow))
	u.busyShare += weight * (value - u.busyShare)
	u.at = now
}

// sampleUtilization takes a sample of the pool's utilization by short tasks.
func (c *Core) sampleUtilization(now time.Duration) {
	capacity, busy := 0.0, 0.0
	for _, e := range c.endpoints {
		if e.usable() {
			longRunning := e.longRunningCPU()
			capacity += float64(max(0, e.capacity.CPUMilli-longRunning))
			busy += float64(e.used.CPUMilli - longRunning)
		}
	}
	c.utilization.sample(now, busy, capacity, c.outstanding.startableWork)
}

// achievableCPU is the CPU, in milli-cores, that can be expected to run short tasks.
func (c *Core) achievableCPU() float64 {
	return float64(c.shortTaskCPU()) * c.utilization.share()
}
