package slots

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// world is a set of entries with what each has in flight, and messages on
// their way that may be lost, repeated or reordered.
type world struct {
	instances []Instance
	entries   map[string]*Sharer
	names     []string
	flight    map[string]map[string]int // entry, instance
	limits    map[string]map[string]int // what Publish returned
	wire      []letter
	version   uint64
	members   map[uint64][]string
	seen      map[string]uint64 // newest version told to an entry
	acked     map[string]uint64
	allAcked  uint64
}

type letter struct {
	from, to string
	share    PeerShare
}

func newWorld(instances, slots int, names ...string) *world {
	w := &world{
		entries: map[string]*Sharer{}, flight: map[string]map[string]int{}, limits: map[string]map[string]int{},
		members: map[uint64][]string{}, seen: map[string]uint64{}, acked: map[string]uint64{},
	}
	for i := range instances {
		w.instances = append(w.instances, Instance{ID: fmt.Sprint("w", i), Slots: slots})
	}
	w.change(names...)
	for _, n := range names {
		w.learn(n)
		w.round(n)
		w.ack(n)
	}
	w.confirmAll()
	return w
}

// change makes a new membership version that nobody knows yet.
func (w *world) change(names ...string) {
	w.version++
	w.members[w.version] = names
	for _, n := range names {
		if w.entries[n] == nil {
			w.entries[n] = NewSharer(n)
			w.entries[n].SetInstances(map[string][]Instance{"p": w.instances})
			w.flight[n], w.limits[n] = map[string]int{}, map[string]int{}
			w.names = append(w.names, n)
		}
	}
}

// learn tells an entry the next membership version it does not know.
func (w *world) learn(n string) {
	if w.seen[n] < w.version {
		w.seen[n]++
		w.entries[n].SetMembers(w.seen[n], w.members[w.seen[n]])
	}
}

func (w *world) ack(n string) {
	if w.entries[n].Settled() {
		w.acked[n] = w.seen[n]
	}
}

// confirmAll finds versions that all have acknowledged, and tells everybody.
func (w *world) confirmAll() {
	for v := w.allAcked + 1; v <= w.version; v++ {
		for _, n := range slices.Concat(w.members[v], w.members[v-1]) {
			if w.acked[n] < v {
				return
			}
		}
		w.allAcked = v
	}
}

// hearAllAcked tells one entry what all have acknowledged.
func (w *world) hearAllAcked(n string) {
	for v := uint64(1); v <= w.allAcked; v++ {
		w.entries[n].SetAllAcked(v)
	}
}

// round is one heartbeat of an entry.
func (w *world) round(n string) {
	w.limits[n] = w.entries[n].Publish()
	w.observe(n)
}

// observe is the second half of a round.
func (w *world) observe(n string) {
	s := w.entries[n]
	for id := range w.limits[n] {
		s.SetInFlight(id, w.flight[n][id])
	}
	for _, to := range w.names {
		if to != n {
			w.wire = append(w.wire, letter{n, to, s.Outgoing(to)})
		}
	}
}

// start begins requests on every free slot of an instance, up to n.
func (w *world) start(name, instance string, n int) {
	for range n {
		if w.flight[name][instance] < w.limits[name][instance] {
			w.flight[name][instance]++
		}
	}
}

func (w *world) deliver(i int) {
	l := w.wire[i]
	w.entries[l.to].OnPeer(l.from, l.share)
}

func (w *world) inFlight(instance string) int {
	n := 0
	for _, f := range w.flight {
		n += f[instance]
	}
	return n
}

// settle runs whole rounds in which everything arrives.
func (w *world) settle(rounds int) {
	for range rounds {
		for _, n := range w.names {
			w.hearAllAcked(n)
			w.round(n)
		}
		for i := range w.wire {
			w.deliver(i)
		}
		w.wire = nil
	}
}

// loanActions are what happens while members stay the same: heartbeats and
// requests in any order, letters that are lost, repeated or overtaken.
func (w *world) loanActions(slots int) map[string]func(*rapid.T) {
	entry := rapid.Custom(func(t *rapid.T) string { return rapid.SampledFrom(w.names).Draw(t, "entry") })
	return map[string]func(*rapid.T){
		"round": func(t *rapid.T) { w.round(entry.Draw(t, "e")) },
		"interrupted": func(t *rapid.T) { // a letter arrives between the halves of a round
			n := entry.Draw(t, "e")
			w.limits[n] = w.entries[n].Publish()
			if len(w.wire) > 0 {
				w.deliver(rapid.IntRange(0, len(w.wire)-1).Draw(t, "letter"))
			}
			w.observe(n)
		},
		"demand": func(t *rapid.T) { // one wants all, the others nothing
			busy := entry.Draw(t, "e")
			for _, n := range w.names {
				w.entries[n].SetDemand("p", 0)
			}
			w.entries[busy].SetDemand("p", 50)
		},
		"fill": func(t *rapid.T) {
			for n, e := 0, entry.Draw(t, "e"); n < len(w.instances); n++ {
				w.start(e, w.instances[n].ID, slots)
			}
		},
		"finish": func(t *rapid.T) {
			f := w.flight[entry.Draw(t, "e")]
			for _, i := range w.instances {
				f[i.ID] -= rapid.IntRange(0, f[i.ID]).Draw(t, "n")
			}
		},
		"deliver": func(t *rapid.T) { // a letter stays on the wire: it may come again, late
			for range min(len(w.wire), 4) {
				w.deliver(rapid.IntRange(0, len(w.wire)-1).Draw(t, "letter"))
			}
		},
		"heartbeat": func(t *rapid.T) {
			first := len(w.wire)
			for _, n := range w.names {
				w.round(n)
			}
			for i := range w.wire[first:] {
				if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
					w.deliver(first + i)
				}
			}
		},
		"lose": func(t *rapid.T) {
			if n := len(w.wire); n > 60 {
				w.wire = slices.Delete(w.wire, 0, rapid.IntRange(1, n-20).Draw(t, "letters"))
			}
		},
		"": func(t *rapid.T) {
			for _, i := range w.instances {
				if n := w.inFlight(i.ID); n > slots {
					t.Fatalf("%s: %d requests in flight, %d slots", i.ID, n, slots)
				}
			}
		},
	}
}

// memberActions are what happens besides while entries join and leave and
// instances come and go.
func (w *world) memberActions() map[string]func(*rapid.T) {
	entry := rapid.Custom(func(t *rapid.T) string { return rapid.SampledFrom(w.names).Draw(t, "entry") })
	sets := [][]string{{"a", "b"}, {"a", "b", "c"}, {"a", "b", "c", "d"}, {"b", "d"}, {"a", "c"}}
	return map[string]func(*rapid.T){
		"silent": func(t *rapid.T) { w.entries[entry.Draw(t, "e")].PeerSilent(entry.Draw(t, "peer")) },
		"change": func(t *rapid.T) {
			if w.version == w.allAcked || rapid.IntRange(0, 4).Draw(t, "rare") == 0 {
				w.change(rapid.SampledFrom(sets).Draw(t, "members")...)
			}
		},
		"learn": func(t *rapid.T) { w.learn(entry.Draw(t, "e")) },
		"agree": func(t *rapid.T) { // all acknowledge what they may; one hears of it
			for _, n := range w.names {
				w.learn(n)
				w.round(n)
				w.ack(n)
			}
			w.confirmAll()
			w.hearAllAcked(entry.Draw(t, "e"))
		},
		"hear": func(t *rapid.T) {
			for _, n := range w.names {
				if rapid.IntRange(0, 3).Draw(t, "late") > 0 {
					w.hearAllAcked(n)
				}
			}
		},
		"gone": func(t *rapid.T) { w.entries[entry.Draw(t, "e")].SetInstances(nil) },
		"back": func(t *rapid.T) {
			for _, n := range w.names {
				w.entries[n].SetInstances(map[string][]Instance{"p": w.instances})
			}
		},
	}
}

// Messages between entries are lost, repeated, late and out of order while
// requests start wherever they may. At no time may all entries together have
// more requests in flight to an instance than it has slots: the endpoint would
// refuse or queue what its callers were promised.
func TestNeverMoreThanSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 9).Draw(t, "slots")
		w := newWorld(2, slots, "a", "b", "c")
		w.settle(2)
		t.Repeat(w.loanActions(slots))
	})
}

// The same while entries join and leave: an old and a new division of the
// slots are in use side by side, and loans of the old one are still out.
func TestNeverMoreThanSlotsAcrossMembershipChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 9).Draw(t, "slots")
		w := newWorld(2, slots, "a", "b", "c")
		w.settle(2)
		actions := w.loanActions(slots)
		maps.Copy(actions, w.memberActions())
		t.Repeat(actions)
	})
}
