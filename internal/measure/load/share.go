package load

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"cyclamenwheel/internal/dispatch/pick"
	"cyclamenwheel/internal/slots"
)

// The fleet of the sharing scenario.
const (
	entries   = 7
	beat      = 100 * time.Millisecond // between heartbeats
	peerDelay = 5 * time.Millisecond
	lossPart  = 0.05 // of messages between entries
	poolName  = "p"
)

// sharing is how entries divide slots.
type sharing string

const (
	lending   sharing = "static shares and loans"
	staticly  sharing = "static shares only"
	ownCounts sharing = "own count only (baseline)"
)

// shareFleet is several entries in front of the same endpoints.
type shareFleet struct {
	kind    sharing
	sims    []*sim
	names   []string
	sharers []*slots.Sharer
	rnd     *rand.Rand
	meters  []slots.Meter
	most    int // in flight to one endpoint
	over    int // events at which an endpoint had more than its slots
	checks  int
}

// Sharing has the balancer send half of all requests to one entry.
func Sharing(w io.Writer) error {
	t := newTable("Seven entries, half of all requests to one, ten endpoints of 8 slots, heartbeats 100 ms apart, 5% lost",
		"offered / capacity", "division", "most in flight at an endpoint", "events past 8 slots", "useful work / capacity", "useful / offered")
	for _, factor := range []float64{0.8, 1, 1.5, 3} {
		for _, kind := range []sharing{lending, staticly, ownCounts} {
			f := newShareFleet(kind, factor)
			f.run()
			work, good, offered := 0.0, 0, 0
			for _, s := range f.sims {
				r := s.finish()
				work += usefulWork(r)
				good += r.Useful
				offered += r.Offered
			}
			t.row(fmt.Sprint(factor), kind, f.most, percent(float64(f.over)/float64(f.checks)),
				percent(work), percent(float64(good)/float64(offered)))
		}
	}
	return t.write(w)
}

func newShareFleet(kind sharing, factor float64) *shareFleet {
	f := &shareFleet{kind: kind, rnd: rand.New(rand.NewPCG(someSeed, someSeed)), meters: make([]slots.Meter, entries)}
	for i := range entries {
		f.names = append(f.names, fmt.Sprintf("e%d", i))
	}
	for i := range entries {
		rate := factor * capacity / 2
		if i > 0 {
			rate /= entries - 1
		}
		sc := scenario(true, plain(), callers(20, rate)...)
		sc.Seed = uint64(i + 1)
		f.sims = append(f.sims, newSim(sc))
		f.sharers = append(f.sharers, f.newSharer(f.names[i]))
	}
	for i := range entries {
		f.publish(i)
		f.sims[i].onRefuse = func(j *job) {
			f.meters[i].Refused(f.sims[i].Queue.Estimate(j.request.Kind))
		}
		f.sims[i].after(beat*time.Duration(i)/entries, func() { f.heartbeat(i) })
	}
	return f
}

func (f *shareFleet) newSharer(name string) *slots.Sharer {
	s := slots.NewSharer(name)
	s.SetMembers(1, f.names)
	s.SetAllAcked(1)
	var list []slots.Instance
	for _, b := range backends(workers, slotsOf, zones) {
		list = append(list, slots.Instance{ID: b.Instance, Slots: b.Slots})
	}
	s.SetInstances(map[string][]slots.Instance{poolName: list})
	return s
}

// publish puts the limits of an entry in force.
func (f *shareFleet) publish(i int) {
	s := f.sims[i]
	limits := f.sharers[i].Publish()
	var list []pick.Endpoint
	for _, b := range s.Backends {
		e := b.Endpoint
		if f.kind != ownCounts {
			e.Slots = limits[e.Instance]
		}
		list = append(list, e)
	}
	s.Picker.Set(s.now, list)
	for id := range limits {
		f.sharers[i].SetInFlight(id, s.Picker.InFlight(id))
	}
	s.pump()
}

// heartbeat is one round of an entry.
func (f *shareFleet) heartbeat(i int) {
	s := f.sims[i]
	f.sharers[i].SetDemand(poolName, f.meters[i].Read(s.now))
	f.publish(i)
	if f.kind == lending {
		for to := range f.sims {
			if to != i && f.rnd.Float64() >= lossPart {
				share := f.sharers[i].Outgoing(f.names[to])
				receiver := f.sims[to]
				receiver.when(s.now.Add(peerDelay), func() { f.sharers[to].OnPeer(f.names[i], share) })
			}
		}
	}
	if s.at() < s.Length {
		s.after(beat, func() { f.heartbeat(i) })
	}
}

// run steps the entries in order of time.
func (f *shareFleet) run() {
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
		f.check()
		for i, s := range f.sims {
			f.meters[i].Set(next.now, s.Picker.Total(), s.Queue.Work())
		}
	}
}

func (f *shareFleet) check() {
	f.checks++
	past := false
	for _, b := range f.sims[0].Backends {
		n := 0
		for _, s := range f.sims {
			n += s.Picker.InFlight(b.Instance)
		}
		f.most = max(f.most, n)
		past = past || n > slotsOf
	}
	if past {
		f.over++
	}
}
