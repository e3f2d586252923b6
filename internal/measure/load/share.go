package load

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"cyclamenwheel/internal/dispatch/pick"
	"cyclamenwheel/internal/slots"
)

// Parameters of the sharing scenario.
const (
	entryCount        = 7
	heartbeatInterval = 100 * time.Millisecond // between heartbeats
	peerDelay         = 5 * time.Millisecond
	messageLossRate   = 0.05 // fraction of the messages between entries that are lost
	poolName          = "p"
)

// divisionKind is the method by which entries divide the endpoints' slots.
type divisionKind string

const (
	sharesWithLoans divisionKind = "static shares and loans"
	staticShares    divisionKind = "static shares only"
	ownCountOnly    divisionKind = "own count only (baseline)"
)

// multiEntrySim simulates several entries that dispatch to the same endpoints.
type multiEntrySim struct {
	kind             divisionKind
	sims             []*sim
	names            []string
	sharers          []*slots.Sharer
	rnd              *rand.Rand
	meters           []slots.Meter
	maxInFlight      int // highest number of requests in flight to one endpoint
	overloadedEvents int // number of events after which an endpoint had more requests than slots
	checks           int
}

// Sharing compares the divisions of slots when one entry receives half of all requests.
func Sharing(w io.Writer) error {
	t := newTable("Seven entries, half of all requests to one, ten endpoints of 8 slots, heartbeats 100 ms apart, 5% lost",
		"offered / capacity", "division", "most in flight at an endpoint", "events past 8 slots", "useful work / capacity", "useful / offered")
	for _, factor := range []float64{0.8, 1, 1.5, 3} {
		for _, kind := range []divisionKind{sharesWithLoans, staticShares, ownCountOnly} {
			f := newMultiEntrySim(kind, factor)
			f.run()
			work, good, offered := 0.0, 0, 0
			for _, s := range f.sims {
				r := s.finish()
				work += usefulWorkRatio(r)
				good += r.Useful
				offered += r.Offered
			}
			t.row(fmt.Sprint(factor), kind, f.maxInFlight, percent(float64(f.overloadedEvents)/float64(f.checks)),
				percent(work), percent(float64(good)/float64(offered)))
		}
	}
	return t.write(w)
}

func newMultiEntrySim(kind divisionKind, factor float64) *multiEntrySim {
	f := &multiEntrySim{kind: kind, rnd: rand.New(rand.NewPCG(defaultSeed, defaultSeed)), meters: make([]slots.Meter, entryCount)}
	for i := range entryCount {
		f.names = append(f.names, fmt.Sprintf("e%d", i))
	}
	for i := range entryCount {
		rate := factor * capacity / 2
		if i > 0 {
			rate /= entryCount - 1
		}
		sc := newScenario(true, plainWork(), callers(20, rate)...)
		sc.Seed = uint64(i + 1)
		f.sims = append(f.sims, newSim(sc))
		f.sharers = append(f.sharers, f.newSharer(f.names[i]))
	}
	for i := range entryCount {
		f.applyLimits(i)
		f.sims[i].onRefuse = func(req *simRequest) {
			f.meters[i].Refused(f.sims[i].Queue.Estimate(req.request.Kind))
		}
		f.sims[i].schedule(heartbeatInterval*time.Duration(i)/entryCount, func() { f.heartbeat(i) })
	}
	return f
}

func (f *multiEntrySim) newSharer(name string) *slots.Sharer {
	s := slots.NewSharer(name)
	s.SetMembers(1, f.names)
	s.SetAllAcked(1)
	var list []slots.Instance
	for _, b := range backends(endpointCount, slotsPerEndpoint, zones) {
		list = append(list, slots.Instance{ID: b.Instance, Slots: b.Slots})
	}
	s.SetInstances(map[string][]slots.Instance{poolName: list})
	return s
}

// applyLimits puts the current slot limits of entry i into force.
func (f *multiEntrySim) applyLimits(i int) {
	s := f.sims[i]
	limits := f.sharers[i].Publish()
	var list []pick.Endpoint
	for _, b := range s.Backends {
		e := b.Endpoint
		if f.kind != ownCountOnly {
			e.Slots = limits[e.Instance]
		}
		list = append(list, e)
	}
	s.Picker.Set(s.now, list)
	for id := range limits {
		f.sharers[i].SetInFlight(id, s.Picker.InFlight(id))
	}
	s.dispatchQueued()
}

// heartbeat runs one heartbeat round of entry i and schedules the next.
func (f *multiEntrySim) heartbeat(i int) {
	s := f.sims[i]
	f.sharers[i].SetDemand(poolName, f.meters[i].Read(s.now))
	f.applyLimits(i)
	if f.kind == sharesWithLoans {
		for to := range f.sims {
			if to != i && f.rnd.Float64() >= messageLossRate {
				share := f.sharers[i].Outgoing(f.names[to])
				receiver := f.sims[to]
				receiver.scheduleAt(s.now.Add(peerDelay), func() { f.sharers[to].OnPeer(f.names[i], share) })
			}
		}
	}
	if s.elapsed() < s.Length {
		s.schedule(heartbeatInterval, func() { f.heartbeat(i) })
	}
}

// run processes the events of all entries in order of time.
func (f *multiEntrySim) run() {
	for {
		var next *sim
		for _, s := range f.sims {
			if len(s.events) > 0 && (next == nil || s.events[0].at.Before(next.events[0].at)) {
				next = s
			}
		}
		if next == nil {
			return
		}
		next.step()
		f.checkSlots()
		for i, s := range f.sims {
			f.meters[i].Set(next.now, s.Picker.Total(), s.Queue.Work())
		}
	}
}

func (f *multiEntrySim) checkSlots() {
	f.checks++
	overloaded := false
	for _, b := range f.sims[0].Backends {
		n := 0
		for _, s := range f.sims {
			n += s.Picker.InFlight(b.Instance)
		}
		f.maxInFlight = max(f.maxInFlight, n)
		overloaded = overloaded || n > slotsPerEndpoint
	}
	if overloaded {
		f.overloadedEvents++
	}
}
