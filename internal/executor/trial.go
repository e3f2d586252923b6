package executor

import (
	"slices"
	"time"
)

// Trials. A task that may crash its endpoints is placed where no run of another job has just
// begun, and none is placed beside it until its own goes on. If it is sound, its run shows
// that within moments and the endpoint takes other tasks again; if not, nothing else there
// can have caused the crash, and no sound task becomes a suspect by it.

const (
	// heardOfLate is how long ago an endpoint may have been heard for a wary task.
	heardOfLate = 1500 * time.Millisecond
	// watchEvery is how often idle endpoints are asked meanwhile.
	watchEvery = heardOfLate / 2
	// trialLook is how long a renewal waits while a run is on trial, or a suspect waits for those
	// on the endpoint to go on.
	trialLook = 200 * time.Millisecond
	// trialPatience is how long a suspect waits for an endpoint of that kind: a gang or a
	// lasting task in a small pool may never find one.
	trialPatience = 3 * time.Second
)

// beginTrial keeps other jobs from an endpoint that a suspect is placed on.
func (t *task) beginTrial() {
	if t.evidence.Suspect {
		t.onTrial, t.host.trial = true, t.step.job
	}
}

// endTrial lets them on it again.
func (t *task) endTrial() {
	if !t.onTrial {
		return
	}
	t.onTrial = false
	for other := range t.host.tasks {
		if other.onTrial {
			return
		}
	}
	t.host.trial = nil
}

// tries reports whether a suspect is tried on an endpoint, or will be next.
func (e *endpoint) tries() bool {
	return e.trial != nil || e.keptFor != nil && e.keptFor.evidence.Suspect
}

// alone reports whether a task may only be placed where nothing else has just begun.
func (t *task) alone(now time.Duration) bool {
	return t.evidence.Suspect && (t.waitsSince == 0 || now-t.waitsSince < trialPatience)
}

// trialScore prefers, for a suspect, an endpoint with little to take down, and another one than
// that of its last crash.
func (t *task) trialScore(e *endpoint, free float64) float64 {
	score := free
	if e.hasLasting() {
		score -= besideLasting
	}
	if e.addr == t.evidence.Addr {
		score -= avoidFailed
	}
	return score
}

// hasJustBegun reports whether runs of other jobs have just begun on an endpoint, or are
// still to begin.
func (e *endpoint) hasJustBegun(besides *job) bool {
	for t := range e.tasks {
		if t.step.job != besides && t.heardFor() < justBegun {
			return true
		}
	}
	return false
}

// cautious reports whether the task is placed only on endpoints that have been heard of late.
// Load: a zone goes dark. Idle endpoints there are not missed; a task whose lease has run out
// on one of them would be sent to the next.
func (t *task) cautious() bool { return t.lapsed || t.evidence.Crashes > 0 }

// beWary puts a task among those that are not placed anywhere.
func (c *Core) beWary(t *task) {
	if t.cautious() && !t.wary {
		t.wary = true
		c.wary = append(c.wary, t)
	}
}

// watch notes whether wary tasks wait, or runs on a silent endpoint may have to begin again.
func (c *Core) watch(now time.Duration) {
	c.wary = slices.DeleteFunc(c.wary, func(t *task) bool {
		over := t.phase == taskDone || t.step.job.rec.State.Ended() || !t.cautious()
		t.wary = t.wary && !over
		return over
	})
	c.countUnheard()
	c.watchful = false
	for _, t := range c.wary {
		if t.step.waitsFor > 0 || !c.mayStart(now, t) {
			continue
		}
		c.watchful = true
		if t.waitsSince == 0 {
			t.waitsSince = now
		}
	}
	for _, e := range c.endpoints {
		c.watchful = c.watchful || e.failedLook > 0 && len(e.tasks) > 0
	}
}

// suspectsWaiting returns the suspects that could start now, where they are alone.
func (c *Core) suspectsWaiting(now time.Duration) []*task {
	var out []*task
	for _, t := range c.wary {
		if t.alone(now) && t.step.waitsFor == 0 && c.mayStart(now, t) {
			out = append(out, t)
		}
	}
	return out
}
