package executor

import (
	"math"
	"slices"
	"time"
)

// Speed of endpoints. Load: some endpoints are several times slower than the others for a few
// seconds, or make no progress, while they are healthy, answer at once and complete each task.
// A job with about ten tasks spread over the pool almost always has one on such an endpoint,
// and the whole job is late; detecting them by completed runs would take five runs. Endpoints
// report progress with each answer to a poll, so a slow endpoint is detected within half a second. It
// then gets one task at a time as a probe for its recovery, and a run that would take longer
// there than from its start elsewhere is stopped and restarted elsewhere.
//
// An endpoint is compared with the others of its pool, as inherently long tasks are long
// everywhere.
const (
	// slowSpeedShare is the share of the usual speed below which an endpoint is slow, and
	// recoveredSpeedShare the share above which it no longer is. Runs of one queue differ by
	// half of their mean, so that healthy endpoints occasionally seem slow.
	slowSpeedShare      = 0.3
	recoveredSpeedShare = 0.6
	// maxSpeedWeight is the running time, over all tasks together, that a speed rests on: half
	// a second of five tasks.
	maxSpeedWeight = 2500 * time.Millisecond
	// minSpeedWeight is the running time needed to rate an endpoint at all: a run reports no
	// progress in its first 100 ms or so.
	minSpeedWeight = 900 * time.Millisecond
	// minRatedEndpoints is how many rated endpoints it takes to determine the usual speed.
	minRatedEndpoints = 3
	// maxUsualSpeed bounds the usual speed, should all endpoints be faster than when the
	// queue's run lengths were measured.
	maxUsualSpeed = 1.5
	// slowRestartFactor is how many times longer the rest of a run must take than the whole run
	// elsewhere: the stop takes time and the work done is lost.
	slowRestartFactor = 2.0
	// maxSlowRestarts bounds the restarts of one task, as the task itself may be slow.
	maxSlowRestarts = 1
)

// speed is an endpoint's speed relative to the measured lengths of the queues' runs: 1 is as
// fast.
type speed struct {
	value float64
	// weight is the running time that value rests on, up to maxSpeedWeight.
	weight time.Duration
	slow   bool
}

// add adds progress worth workMs that a run made in the time passed.
func (s *speed) add(workMs float64, passed time.Duration) {
	if passed <= 0 {
		return
	}
	s.weight = min(maxSpeedWeight, s.weight+passed)
	share := 1 - math.Exp(-float64(passed)/float64(s.weight))
	if s.value == 0 && s.weight == passed {
		share = 1
	}
	s.value += share * (workMs/(float64(passed)/float64(time.Millisecond)) - s.value)
}

// hasEnoughData reports whether the endpoint can be rated.
func (s *speed) hasEnoughData() bool { return s.weight >= minSpeedWeight }

// updateSpeed updates an endpoint's speed from a run's reported progress. clock is the
// endpoint's own clock, as the report may have been delayed on its way or in this process.
func (c *Core) updateSpeed(clock time.Duration, t *task, percent int) {
	lastPercent, lastReport := t.percent, t.listedAt
	if clock <= lastReport {
		return // reports can arrive out of order
	}
	t.listedAt = clock
	if lastReport == 0 || percent < lastPercent || !indicatesSpeed(t) || !c.hasMeasuredLengths(t.step.job) {
		return
	}
	t.endpoint.speed.add(float64(percent-lastPercent)/100*c.taskMs(t.step), clock-lastReport)
}

// hasMeasuredLengths reports whether enough runs of the job's queue were measured. By callers'
// estimates alone, an endpoint would seem slow whose jobs were estimated too short.
func (c *Core) hasMeasuredLengths(j *job) bool { return c.lengthModels[j.rec.Queue].hasEnoughRuns() }

// indicatesSpeed reports whether a run's progress indicates its endpoint's speed: a gang member
// waits for the others, and a task away from its data is slow on any endpoint.
func indicatesSpeed(t *task) bool {
	s := t.step.spec
	atData := s.DataRack == "" || s.DataRack == t.endpoint.rack
	return !s.LongRunning && !s.Gang && atData && !t.stopping
}

// updateSlowEndpoints compares the pool's endpoints with each other and marks the slow ones.
func (c *Core) updateSlowEndpoints() {
	usual := c.usualSpeed()
	for _, e := range c.endpoints {
		s := &e.speed
		if !s.hasEnoughData() {
			continue
		}
		wasSlow := s.slow
		s.slow = s.value < slowSpeedShare*usual && (wasSlow || e.runsSeveralJobs()) || wasSlow && s.value < recoveredSpeedShare*usual
		if s.slow != wasSlow {
			kind := EventSlow
			if wasSlow {
				kind = EventSpeedRecovered
			}
			c.event(Event{Kind: kind, Endpoint: e.id, Run: len(e.tasks), Reason: formatRelativeSpeed(s.value / usual)})
		}
	}
}

// runsSeveralJobs reports whether tasks of two or more jobs run on the endpoint. The tasks of
// one job may all be inherently long, and packed together they fill an endpoint.
func (e *endpoint) runsSeveralJobs() bool {
	var first *job
	for t := range e.tasks {
		if t.confirmedAt == 0 || !indicatesSpeed(t) {
			continue
		}
		if first != nil && first != t.step.job {
			return true
		}
		first = t.step.job
	}
	return false
}

// usualSpeed returns the median speed of the rated endpoints, at most maxUsualSpeed.
func (c *Core) usualSpeed() float64 {
	var values []float64
	for _, e := range c.endpoints {
		if e.speed.hasEnoughData() {
			values = append(values, e.speed.value)
		}
	}
	if len(values) < minRatedEndpoints {
		return 1
	}
	slices.Sort(values)
	return min(maxUsualSpeed, values[len(values)/2])
}

// restartElsewhere stops a run on a slow endpoint if it would end sooner when restarted elsewhere.
// Its checkpoint, if any, is kept.
func (c *Core) restartElsewhere(e *endpoint, t *task) {
	if !e.speed.slow || t.slowRestarts >= maxSlowRestarts || t.confirmedAt == 0 || t.stopping || !indicatesSpeed(t) {
		return
	}
	remaining := (1 - float64(t.percent)/100) / max(e.speed.value, 0.01)
	if remaining < slowRestartFactor {
		return
	}
	t.slowRestarts++
	t.avoidIncarnation = e.incarnation()
	c.requestStop(t, "endpoint slow")
}

// hasProbeTask reports whether an endpoint already runs the one task that a slow endpoint gets
// as a probe.
func (e *endpoint) hasProbeTask() bool {
	for t := range e.tasks {
		if !t.step.spec.LongRunning && !t.stopping {
			return true
		}
	}
	return false
}
