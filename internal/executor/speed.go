package executor

import (
	"math"
	"slices"
	"time"
)

// Speed of endpoints. Load: some endpoints work several times as slowly as the
// others for a few seconds, or stand still, while they are healthy, answer at
// once and end each task well. A job of some ten tasks that are spread over the
// pool meets one of them almost always and is late as a whole; to wait for ends
// is to learn it five runs too late. Progress is listed with each renewal, so a
// slow endpoint shows within half a second. It gets one task at a time, which
// shows whether it has recovered, and what would take longer there than anew
// elsewhere is stopped and started elsewhere.
//
// An endpoint is judged against the others of its pool: tasks that are long by
// themselves are so everywhere.
const (
	// slowBelow is the share of the usual speed below which an endpoint is slow,
	// and fineAbove the share above which it no longer is. Runs of one queue
	// differ by half of their mean, so that sound endpoints seem slow now and then.
	slowSpeedShare      = 0.3
	recoveredSpeedShare = 0.6
	// speedWindow is the running time, of all tasks together, that a judgement
	// rests on: half a second of five tasks.
	maxSpeedWeight = 2500 * time.Millisecond
	// speedLeast is the running time needed before there is a judgement at all:
	// the start of a run shows no progress for some 100 ms.
	minSpeedWeight = 900 * time.Millisecond
	// fewEndpoints is how many judged endpoints it takes to know what is usual.
	minRatedEndpoints = 3
	// usualMost bounds what counts as usual speed, should all endpoints be faster
	// than they were when the queue's runs were learnt.
	maxUsualSpeed = 1.5
	// rescueFactor is how many times longer a run's rest must take than all of
	// it elsewhere: the stop takes some time and what was done is lost.
	rescueFactor = 2.0
	// mostRescues of a task: it may be slow by itself.
	maxRescues = 1
)

// speed is how fast an endpoint works, beside what its queues' runs have taken
// elsewhere: 1 is as fast.
type speed struct {
	value float64
	// weight is the running time that value rests on, up to speedWindow.
	weight time.Duration
	slow   bool
}

// add takes in progress worth workMs that a run made within passed.
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

// known reports whether enough was seen for a judgement.
func (s *speed) hasEnoughData() bool { return s.weight >= minSpeedWeight }

// noteProgress learns an endpoint's speed from a run that it lists at clock, its
// own time: the answer may have been held up on its way, or here.
func (c *Core) noteProgress(clock time.Duration, t *task, percent int) {
	before, at := t.percent, t.listedAt
	if clock <= at {
		return // listings can overtake each other
	}
	t.listedAt = clock
	if at == 0 || percent < before || !indicatesSpeed(t) || !c.hasLearnedLengths(t.step.job) {
		return
	}
	t.host.speed.add(float64(percent-before)/100*c.taskMs(t.step), clock-at)
}

// knownWork reports whether runs of the job's queue have shown how long they are.
// Callers' estimates would make an endpoint slow whose jobs were estimated short.
func (c *Core) hasLearnedLengths(j *job) bool { return c.learned[j.rec.Queue].hasEnoughRuns() }

// showsSpeed reports whether a run's progress says something of its endpoint: a
// gang waits for its members, and away from its data a task is slow anywhere.
func indicatesSpeed(t *task) bool {
	s := t.step.spec
	atData := s.DataRack == "" || s.DataRack == t.host.rack
	return !s.LongRunning && !s.Gang && atData && !t.stopping
}

// judgeSpeeds compares the pool's endpoints with each other.
func (c *Core) judgeSpeeds() {
	usual := c.usualSpeed()
	for _, e := range c.endpoints {
		s := &e.speed
		if !s.hasEnoughData() {
			continue
		}
		was := s.slow
		s.slow = s.value < slowSpeedShare*usual && (was || e.runsSeveralJobs()) || was && s.value < recoveredSpeedShare*usual
		if s.slow != was {
			kind := EventSlow
			if was {
				kind = EventFine
			}
			c.event(Event{Kind: kind, Endpoint: e.id, Run: len(e.tasks), Reason: formatRelativeSpeed(s.value / usual)})
		}
	}
}

// ofSeveralJobs reports whether tasks of two jobs or more run there. Those of one
// job may all be long by themselves, and packed they fill an endpoint.
func (e *endpoint) runsSeveralJobs() bool {
	var first *job
	for t := range e.tasks {
		if t.confirmed == 0 || !indicatesSpeed(t) {
			continue
		}
		if first != nil && first != t.step.job {
			return true
		}
		first = t.step.job
	}
	return false
}

// usualSpeed is the median of the endpoints that are judged.
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

// rescue stops a run on a slow endpoint that ends sooner if it begins anew
// elsewhere. Its checkpoint, where it has one, is kept.
func (c *Core) rescue(e *endpoint, t *task) {
	if !e.speed.slow || t.rescues >= maxRescues || t.confirmed == 0 || t.stopping || !indicatesSpeed(t) {
		return
	}
	left := (1 - float64(t.percent)/100) / max(e.speed.value, 0.01)
	if left < rescueFactor {
		return
	}
	t.rescues++
	t.avoid = e.incarnation()
	c.stopFor(t, "endpoint slow")
}

// probed reports whether a slow endpoint has the one task already that shows
// how it does.
func (e *endpoint) hasProbeTask() bool {
	for t := range e.tasks {
		if !t.step.spec.LongRunning && !t.stopping {
			return true
		}
	}
	return false
}
