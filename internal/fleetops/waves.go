package fleetops

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Announcement is a wave's state as published to the operator.
type Announcement struct {
	Wave      int
	Completed bool
}

func (s *State) sortedWaves() []int {
	var numbers []int
	for n := range s.waves {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers
}

func (s *State) markDone(wave int, instance string) {
	delete(s.reserved, instance)
	if w := s.waves[wave]; w != nil && !w.done[instance] {
		w.done[instance] = true
		s.dirtyWaves[wave] = true
	}
}

// advanceWave begins the maintenance of as many instances as the wave allows.
func (s *State) advanceWave(now time.Duration, wallMs int64, w *Wave, a *Actions) {
	if !w.announced {
		s.addAnnouncement(w, a)
	}
	if w.Completed || w.maxAtOnce == 0 || s.listedAt == 0 {
		return
	}
	inProgress, remaining := 0, 0
	var due []Instance
	for _, name := range w.instances {
		i, listed := s.instances[name]
		if w.done[name] || !listed {
			continue
		}
		remaining++
		op := s.ops[name]
		switch {
		case op != nil && op.Kind == KindMaintain && op.Wave == w.Number && op.Phase != PhaseEnded:
			inProgress++
		case (op == nil || op.Phase == PhaseEnded) && i.Up:
			due = append(due, i)
		}
	}
	if remaining == 0 {
		w.Completed, w.announced = true, false
		s.dirtyWaves[w.Number] = true
		return
	}
	s.beginMaintenance(now, w, due, inProgress, s.behindPace(wallMs, w, remaining, inProgress), a)
}

// behindPace is how many more instances should have been begun by now than have been.
func (s *State) behindPace(wallMs int64, w *Wave, remaining, inProgress int) int {
	elapsed := float64(wallMs-w.SeenMs) / (paceShare * float64(max(1, w.within.Milliseconds())))
	total := len(w.instances)
	begun := total - remaining + inProgress
	return int(math.Ceil(min(1, max(0, elapsed))*float64(total))) - begun
}

// paceShare is the part of a wave's time over which its instances are begun, evenly; the rest,
// some five seconds, is for vacating the last of them and for their return.
//
// Load: a wave covers half of all instances while queues burst in rotation. If as many are begun
// at once as the wave allows, whenever their own pool can spare them, a fifth of the fleet is away
// as another queue's burst begins, and that queue's capacity comes five seconds late instead of
// two. Instances that no pool needs are begun at any time, the others only as fast as the pace
// requires.
const paceShare = 0.7

// maxLongRunningVacates limits the instances with long-running tasks that are vacated at a time in
// one pool.
// Load: a step may be missing one or two of its tasks, and each takes two to three seconds to
// restart elsewhere, so the instances of a pool are vacated one after the other however many are
// begun; those still waiting are unavailable to short tasks. Begun when the wave starts, ahead of
// its pace, they are done in time.
const maxLongRunningVacates = 3

func (s *State) beginMaintenance(now time.Duration, w *Wave, due []Instance, inProgress, behind int, a *Actions) {
	s.sortDue(due)
	if w.loadsAskedAt == 0 {
		w.loadsAskedAt = now
	}
	vacating := s.longRunningVacatesInProgress()
	for n, i := range due {
		s.reserved[i.Name] = n < behind
	}
	for _, i := range due {
		hasLongRunning := s.hasLongRunning(i)
		full := inProgress >= w.maxAtOnce || hasLongRunning && vacating[i.Pool] >= maxLongRunningVacates
		if full || s.awaitsLoads(w, i) || behind <= 0 && !hasLongRunning && !s.canSpare(i) {
			a.Due[i.Pool] = append(a.Due[i.Pool], i.Endpoint)
			continue
		}
		inProgress++
		behind--
		if hasLongRunning {
			vacating[i.Pool]++
		}
		if i.Pool != s.spare {
			s.fleetSurplus -= float64(i.CPUMilli)
		}
		s.begin(now, &Operation{Instance: i.Name, Kind: KindMaintain, Wave: w.Number, From: i.Pool, Endpoint: i.Endpoint, hadLongRunning: hasLongRunning})
		a.Events = append(a.Events, Event{What: "maintenance begun", Instance: i.Name, Reason: "wave", Wave: w.Number, Pool: i.Pool})
	}
}

// awaitsLoads reports whether an instance's load is not known yet because the wave has just begun:
// owners report the loads of endpoints that are due. Begun without them, the wave would take
// instances that cost the most to vacate.
func (s *State) awaitsLoads(w *Wave, i Instance) bool {
	view := s.pools[i.Pool]
	return i.Pool != s.spare && view != nil && view.At <= w.loadsAskedAt
}

// longRunningVacatesInProgress counts, by pool, the instances whose long-running tasks are being moved
// elsewhere for a wave.
func (s *State) longRunningVacatesInProgress() map[string]int {
	counts := map[string]int{}
	for _, op := range s.ops {
		if op.Kind == KindMaintain && op.Phase == PhaseVacating && op.hadLongRunning && !op.vacated {
			counts[op.From]++
		}
	}
	return counts
}

// hasLongRunning reports whether long-running tasks are on an instance, by its pool's last summary.
func (s *State) hasLongRunning(i Instance) bool {
	view := s.pools[i.Pool]
	return view != nil && view.endpointLoads[i.Endpoint].HasLongRunning
}

// canSpare reports whether the fleet as a whole can do without an instance, and its own pool has a
// surplus.
func (s *State) canSpare(i Instance) bool {
	if i.Pool == s.spare || s.pools[i.Pool] == nil {
		return s.fleetSurplus >= 0
	}
	return s.poolSurplus[i.Pool] > float64(i.CPUMilli) && s.fleetSurplus > float64(i.CPUMilli)
}

func (s *State) addAnnouncement(w *Wave, a *Actions) {
	w.announced = true
	a.Announce = append(a.Announce, Announcement{Wave: w.Number, Completed: w.Completed})
}

// sortDue puts the instances first that cost least to vacate: switched off, then idle, then those
// of the least loaded pools, and last those with long-running tasks.
func (s *State) sortDue(due []Instance) {
	cost, dueInPool := map[string]float64{}, map[string]int{}
	for _, i := range due {
		dueInPool[i.Pool]++
	}
	for _, i := range due {
		cost[i.Name] = s.vacateCost(i)
		if dueInPool[i.Pool] > MaxDuePerCall && !s.loadKnown(i) {
			cost[i.Name] += unknownLoadCost
		}
	}
	slices.SortStableFunc(due, func(a, b Instance) int { return cmp.Compare(cost[a.Name], cost[b.Name]) })
}

// Weights of vacateCost, in shares of a pool's load.
const (
	longRunningCost = 2.0
	idleFactor      = 0.5
	// unknownLoadCost puts instances last whose loads were not asked for because too many are due.
	unknownLoadCost = 2 * longRunningCost
)

func (s *State) loadKnown(i Instance) bool {
	view := s.pools[i.Pool]
	if i.Pool == s.spare || view == nil {
		return true
	}
	_, known := view.endpointLoads[i.Endpoint]
	return known
}

func (s *State) vacateCost(i Instance) float64 {
	view := s.pools[i.Pool]
	if i.Pool == s.spare || view == nil {
		return -1
	}
	sum := view.Summary
	cost := (float64(sum.RunningCPUMilli) + sum.BacklogCoreMs) / float64(max(1, sum.CapacityMilli))
	load, known := view.endpointLoads[i.Endpoint]
	if known && load.Tasks == 0 {
		cost *= idleFactor
	}
	if load.HasLongRunning {
		cost += longRunningCost
	}
	return cost
}

// AnnouncementFailed records that a wave's state could not be published to the operator.
func (s *State) AnnouncementFailed(wave int) {
	if w := s.waves[wave]; w != nil {
		w.announced = false
	}
}
