package executor

import (
	"math"
	"time"

	"cyclamenwheel/internal/jobs"
)

// Prediction of run lengths. Load: the steps of one queue differ by half of their mean, and
// callers' estimates are off by as much; the tasks of one step are alike. Predicted by the
// queue's mean alone, short jobs seem on time until they are late, and long jobs that could
// still be on time are put last.
//
// Until a step's first task has ended, its length is predicted from the caller's estimate and
// the queue's mean, weighted by how accurate estimates have been; from then on it is the mean
// length of the tasks that have ended.
//
// Under a load peak, more jobs are on time than with the queue's mean alone.
const (
	// minSampleWeight is the least weight of a new step in the averages, so that a step's
	// influence fades after some 30 others.
	minSampleWeight = 0.03
	// minModelRuns is how many measured runs it takes to use the model instead of callers'
	// estimates alone.
	minModelRuns = 8
	// priorSlope is the assumed regression slope of lengths on estimates before a queue has
	// shown how accurate its estimates are. priorSlopeWeight is its weight against the
	// measurements, in squared logarithms of one step.
	priorSlope       = 0.5
	priorSlopeWeight = 0.25
	// defaultTaskMs is assumed where there is neither an estimate nor a measurement.
	defaultTaskMs = 1000
	// minRemainingShare is the part of a run's length that is assumed to remain however long
	// the run has taken.
	minRemainingShare = 0.1
)

// lengthModel models the run lengths of a queue: the means, variances and covariance of the
// logarithms of lengths and callers' estimates, in ms.
type lengthModel struct {
	// steps and runs are the sample sizes.
	steps, runs int
	// The logarithms' means, variances and covariance; meanLogEstimate is 0 before any estimate.
	meanLogActual, meanLogEstimate float64
	varLogActual, varLogEstimate   float64
	covariance                     float64
}

// add adds a step of which runs tasks took ms each. An estimate of zero means that there is
// none.
func (l *lengthModel) add(ms float64, runs, estimateMs int) {
	l.steps++
	l.runs += runs
	w := max(minSampleWeight, 1/float64(l.steps))
	deviation := math.Log(max(1, ms)) - l.meanLogActual
	l.meanLogActual += w * deviation
	l.varLogActual = (1 - w) * (l.varLogActual + w*deviation*deviation)
	if estimateMs <= 0 {
		return
	}
	if l.meanLogEstimate == 0 {
		l.meanLogEstimate = math.Log(float64(estimateMs))
	}
	estimateDeviation := math.Log(float64(estimateMs)) - l.meanLogEstimate
	l.meanLogEstimate += w * estimateDeviation
	l.varLogEstimate = (1 - w) * (l.varLogEstimate + w*estimateDeviation*estimateDeviation)
	l.covariance = (1 - w) * (l.covariance + w*deviation*estimateDeviation)
}

// hasEnoughRuns reports whether the model rests on enough runs to be used.
func (l *lengthModel) hasEnoughRuns() bool { return l != nil && l.runs >= minModelRuns }

// meanMs returns the mean length of the queue's runs.
func (l *lengthModel) meanMs() float64 { return math.Exp(l.meanLogActual + l.varLogActual/2) }

// expectedMs returns the expected length of a run, given its caller's estimate.
func (l *lengthModel) expectedMs(estimateMs int) float64 {
	if estimateMs <= 0 || l.meanLogEstimate == 0 {
		return l.meanMs()
	}
	prior := priorSlopeWeight / float64(l.steps)
	slope := (l.covariance + prior*priorSlope) / (l.varLogEstimate + prior)
	slope = min(1, max(0, slope))
	residualVariance := max(0, l.varLogActual-slope*l.covariance)
	return math.Exp(l.meanLogActual + slope*(math.Log(float64(estimateMs))-l.meanLogEstimate) + residualVariance/2)
}

// expectedTaskMs returns the expected length of a step's tasks before any of them has ended.
func (c *Core) expectedTaskMs(queue string, s *jobs.Step) float64 {
	if l := c.lengthModels[queue]; l.hasEnoughRuns() {
		return l.expectedMs(s.EstimateMs)
	}
	if s.EstimateMs > 0 {
		return float64(s.EstimateMs)
	}
	return defaultTaskMs
}

// taskMs returns the current prediction of the length of a step's tasks.
func (c *Core) taskMs(s *stepRun) float64 {
	if s.measuredRuns > 0 {
		return s.measuredRunMs / float64(s.measuredRuns)
	}
	return c.expectedTaskMs(s.job.rec.Queue, s.spec)
}

// MeanRunLength returns the mean measured length of a queue's runs, or zero before there are enough
// of them.
func (c *Core) MeanRunLength(queue string) time.Duration {
	if l := c.lengthModels[queue]; l.hasEnoughRuns() {
		return time.Duration(l.meanMs() * float64(time.Millisecond))
	}
	return 0
}

func (c *Core) addLength(queue string, ms float64, runs, estimateMs int) {
	l := c.lengthModels[queue]
	if l == nil {
		l = &lengthModel{}
		c.lengthModels[queue] = l
	}
	l.add(ms, runs, estimateMs)
	c.lengthsChanged = true
}

// recordLength records the length of a task that has succeeded. It skips restored runs, which
// began before this owner observed them, resumed runs, which had done a part of their work
// before, and runs on slow endpoints, which are not typical of the queue. Included, they would
// make jobs seem on time when they are not, and healthy endpoints slow.
func (c *Core) recordLength(now time.Duration, t *task) {
	if t.confirmedAt == 0 || t.restored || t.resumed || t.endpoint.speed.slow {
		return
	}
	s := t.step
	s.measuredRuns++
	s.measuredRunMs += float64((now - t.confirmedAt).Milliseconds())
	if s.measuredRuns == 1 {
		c.setObjective(s.job)
	}
}

// criticalPathMs returns the length of a job's critical path.
func (c *Core) criticalPathMs(j *job) float64 {
	steps := j.rec.Job.Steps
	ends := make([]float64, len(steps))
	longest := 0.0
	for i := range steps {
		start := 0.0
		for _, a := range steps[i].After {
			start = max(start, ends[a])
		}
		ends[i] = start + c.stepTaskMs(j, i)
		longest = max(longest, ends[i])
	}
	return longest
}

// stepTaskMs returns the predicted length of the tasks of a job's step.
func (c *Core) stepTaskMs(j *job, step int) float64 {
	if len(j.current) > 0 && step < len(j.current[0].steps) {
		return c.taskMs(j.current[0].steps[step])
	}
	return c.expectedTaskMs(j.rec.Queue, &j.rec.Job.Steps[step])
}

// remainingMs returns the length of the critical path that remains of a job.
func (c *Core) remainingMs(now time.Duration, j *job) float64 {
	longest := 0.0
	for _, o := range j.current {
		ends := make([]float64, len(o.steps))
		for i, s := range o.steps {
			start := 0.0
			for _, a := range s.spec.After {
				start = max(start, ends[a])
			}
			ends[i] = start + c.remainingStepMs(now, s)
			longest = max(longest, ends[i])
		}
	}
	return longest
}

func (c *Core) remainingStepMs(now time.Duration, s *stepRun) float64 {
	if s.unfinished == 0 {
		return 0
	}
	whole := c.taskMs(s)
	if s.waiting > 0 {
		return whole
	}
	return max(minRemainingShare*whole, whole-float64((now-s.placedAt).Milliseconds()))
}

// cannotMeetObjective reports whether a job can no longer end within its objective, even if all of
// its tasks started at once.
func (c *Core) cannotMeetObjective(now time.Duration, j *job) bool {
	return c.earliestEnd(now, j) > j.objective
}

// earliestEnd returns when a job ends if all of its tasks start at once.
func (c *Core) earliestEnd(now time.Duration, j *job) time.Duration {
	return now + time.Duration(c.remainingMs(now, j)*float64(time.Millisecond))
}

// setObjective sets the time from which a job is late, by the current prediction of its length.
func (c *Core) setObjective(j *job) {
	allowedMs := c.criticalPathMs(j) * j.rec.Terms.SlowdownFactor
	j.objective = j.offeredAt + time.Duration(allowedMs*float64(time.Millisecond)) + j.rec.Terms.Slack
	c.unsorted = true
}
