package executor

import (
	"math"
	"time"

	"cyclamenwheel/internal/jobs"
)

// How long runs take. Load: the steps of one queue differ by half of their mean, and
// callers' estimates are off by as much; the tasks of one step are alike. By the
// queue's mean alone, short jobs seem in time until they are late, and long ones
// that could still be in time are put last.
//
// Before a step's first task has ended its length is drawn from the caller's estimate
// and the queue's mean, each trusted as far as it has proved right; from then on it
// is what that task took.
//
// Gain: more of the jobs of a turn are in time than by the queue's mean.
const (
	// learnWeight forgets a step's influence after some 30 others.
	minSampleWeight = 0.03
	// fewRuns is how many runs it takes to trust experience over estimates.
	fewRuns = 8
	// firstTrust is the trust in estimates before a queue's steps have shown what
	// they are worth, and firstTrustWeight, in squared logarithms of one step, how
	// much it counts beside these.
	priorSlope       = 0.5
	priorSlopeWeight = 0.25
	// defaultTaskMs stands in where neither the caller nor experience says how
	// long a task takes.
	defaultTaskMs = 1000
	// leastRest is the part of a run's length that is still to come however long it
	// has run.
	minRemainingShare = 0.1
)

// lengths is what was learnt of the lengths of a queue's runs: means, variances and
// the covariance of the logarithms of lengths and callers' estimates, in ms.
type lengths struct {
	// steps and runs are how many it rests on.
	steps, runs int
	// actual and estimate are the means, the others spread about them.
	actual, estimate       float64
	varActual, varEstimate float64
	covariance             float64
}

// add takes in a step of which runs tasks took ms each. An estimate of zero says
// nothing.
func (l *lengths) add(ms float64, runs, estimateMs int) {
	l.steps++
	l.runs += runs
	w := max(minSampleWeight, 1/float64(l.steps))
	deviation := math.Log(max(1, ms)) - l.actual
	l.actual += w * deviation
	l.varActual = (1 - w) * (l.varActual + w*deviation*deviation)
	if estimateMs <= 0 {
		return
	}
	if l.estimate == 0 {
		l.estimate = math.Log(float64(estimateMs))
	}
	estimateDeviation := math.Log(float64(estimateMs)) - l.estimate
	l.estimate += w * estimateDeviation
	l.varEstimate = (1 - w) * (l.varEstimate + w*estimateDeviation*estimateDeviation)
	l.covariance = (1 - w) * (l.covariance + w*deviation*estimateDeviation)
}

// known reports whether enough was seen to trust it.
func (l *lengths) hasEnoughRuns() bool { return l != nil && l.runs >= fewRuns }

// meanMs is the mean length of the queue's runs.
func (l *lengths) meanMs() float64 { return math.Exp(l.actual + l.varActual/2) }

// expectMs is the expected length of a run by its caller's estimate.
func (l *lengths) expectedMs(estimateMs int) float64 {
	if estimateMs <= 0 || l.estimate == 0 {
		return l.meanMs()
	}
	prior := priorSlopeWeight / float64(l.steps)
	slope := (l.covariance + prior*priorSlope) / (l.varEstimate + prior)
	slope = min(1, max(0, slope))
	residualVariance := max(0, l.varActual-slope*l.covariance)
	return math.Exp(l.actual + slope*(math.Log(float64(estimateMs))-l.estimate) + residualVariance/2)
}

// expectMs is how long a task of a step is expected to take before any has ended.
func (c *Core) expectMs(queue string, s *jobs.Step) float64 {
	if l := c.learned[queue]; l.hasEnoughRuns() {
		return l.expectedMs(s.EstimateMs)
	}
	if s.EstimateMs > 0 {
		return float64(s.EstimateMs)
	}
	return defaultTaskMs
}

// taskMs is how long a task of a step takes, by what is known now.
func (c *Core) taskMs(s *stepRun) float64 {
	if s.ran > 0 {
		return s.ranMs / float64(s.ran)
	}
	return c.expectMs(s.job.rec.Queue, s.spec)
}

// Learned is how long a run of a queue's tasks takes by what has been seen; zero
// before enough has.
func (c *Core) Learned(queue string) time.Duration {
	if l := c.learned[queue]; l.hasEnoughRuns() {
		return time.Duration(l.meanMs() * float64(time.Millisecond))
	}
	return 0
}

func (c *Core) learn(queue string, ms float64, runs, estimateMs int) {
	l := c.learned[queue]
	if l == nil {
		l = &lengths{}
		c.learned[queue] = l
	}
	l.add(ms, runs, estimateMs)
	c.learntChanged = true
}

// noteLength takes in how long a task took that has ended well. A restored run began
// before this owner saw it, one that was resumed had done a part of its work before,
// and what a slow endpoint takes says nothing of the queue: learnt as they are, jobs
// would seem in time when they are not, and sound endpoints slow.
func (c *Core) noteLength(now time.Duration, t *task) {
	if t.confirmed == 0 || t.restored || t.resumed || t.host.speed.slow {
		return
	}
	s := t.step
	s.ran++
	s.ranMs += float64((now - t.confirmed).Milliseconds())
	if s.ran == 1 {
		c.setObjective(s.job)
	}
}

// chainMs is the longest chain of a job's work.
func (c *Core) chainMs(j *job) float64 {
	steps := j.rec.Job.Steps
	ends := make([]float64, len(steps))
	longest := 0.0
	for i := range steps {
		begins := 0.0
		for _, a := range steps[i].After {
			begins = max(begins, ends[a])
		}
		ends[i] = begins + c.stepTaskMs(j, i)
		longest = max(longest, ends[i])
	}
	return longest
}

// lengthOf is how long the tasks of a job's step take.
func (c *Core) stepTaskMs(j *job, step int) float64 {
	if len(j.current) > 0 && step < len(j.current[0].steps) {
		return c.taskMs(j.current[0].steps[step])
	}
	return c.expectMs(j.rec.Queue, &j.rec.Job.Steps[step])
}

// restMs is the longest chain of work that a job still has before it.
func (c *Core) remainingMs(now time.Duration, j *job) float64 {
	longest := 0.0
	for _, o := range j.current {
		ends := make([]float64, len(o.steps))
		for i, s := range o.steps {
			begins := 0.0
			for _, a := range s.spec.After {
				begins = max(begins, ends[a])
			}
			ends[i] = begins + c.remainingStepMs(now, s)
			longest = max(longest, ends[i])
		}
	}
	return longest
}

func (c *Core) remainingStepMs(now time.Duration, s *stepRun) float64 {
	if s.left == 0 {
		return 0
	}
	whole := c.taskMs(s)
	if s.waiting > 0 {
		return whole
	}
	return max(minRemainingShare*whole, whole-float64((now-s.placedAt).Milliseconds()))
}

// hopeless reports whether a job can no longer end within its objective, even
// if all of its tasks began at once.
func (c *Core) hopeless(now time.Duration, j *job) bool {
	return now+time.Duration(c.remainingMs(now, j)*float64(time.Millisecond)) > j.objective
}

// setObjective works out when a job is late by what is known of its lengths.
func (c *Core) setObjective(j *job) {
	chain := c.chainMs(j) * j.rec.Terms.Stretch
	j.objective = j.offered + time.Duration(chain*float64(time.Millisecond)) + j.rec.Terms.Slack
	c.unsorted = true
}
