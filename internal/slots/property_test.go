package slots

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// cluster is a set of entries with their requests in flight, and messages in
// transit that may be lost, repeated or reordered.
type cluster struct {
	instances []Instance
	entries   map[string]*Sharer
	names     []string
	inFlight  map[string]map[string]int // entry, instance
	limits    map[string]map[string]int // what Publish returned
	inTransit []message
	version   uint64
	members   map[uint64][]string
	delivered map[string]uint64 // newest version delivered to an entry
	acked     map[string]uint64
	allAcked  uint64
}

type message struct {
	from, to string
	share    PeerShare
}

func newCluster(instances, slots int, names ...string) *cluster {
	c := &cluster{
		entries: map[string]*Sharer{}, inFlight: map[string]map[string]int{}, limits: map[string]map[string]int{},
		members: map[uint64][]string{}, delivered: map[string]uint64{}, acked: map[string]uint64{},
	}
	for i := range instances {
		c.instances = append(c.instances, Instance{ID: fmt.Sprint("w", i), Slots: slots})
	}
	c.newMembership(names...)
	for _, n := range names {
		c.deliverMembership(n)
		c.heartbeat(n)
		c.ack(n)
	}
	c.advanceAllAcked()
	return c
}

// newMembership creates a membership version that has not been delivered to any
// entry.
func (c *cluster) newMembership(names ...string) {
	c.version++
	c.members[c.version] = names
	for _, n := range names {
		if c.entries[n] == nil {
			c.entries[n] = NewSharer(n)
			c.entries[n].SetInstances(map[string][]Instance{"p": c.instances})
			c.inFlight[n], c.limits[n] = map[string]int{}, map[string]int{}
			c.names = append(c.names, n)
		}
	}
}

// deliverMembership delivers the next membership version to an entry.
func (c *cluster) deliverMembership(n string) {
	if c.delivered[n] < c.version {
		c.delivered[n]++
		c.entries[n].SetMembers(c.delivered[n], c.members[c.delivered[n]])
	}
}

func (c *cluster) ack(n string) {
	if c.entries[n].Settled() {
		c.acked[n] = c.delivered[n]
	}
}

// advanceAllAcked advances allAcked over the versions that all have
// acknowledged.
func (c *cluster) advanceAllAcked() {
	for v := c.allAcked + 1; v <= c.version; v++ {
		for _, n := range slices.Concat(c.members[v], c.members[v-1]) {
			if c.acked[n] < v {
				return
			}
		}
		c.allAcked = v
	}
}

// deliverAllAcked reports to one entry the versions that all have acknowledged.
func (c *cluster) deliverAllAcked(n string) {
	for v := uint64(1); v <= c.allAcked; v++ {
		c.entries[n].SetAllAcked(v)
	}
}

// heartbeat runs one heartbeat of an entry.
func (c *cluster) heartbeat(n string) {
	c.limits[n] = c.entries[n].Publish()
	c.observe(n)
}

// observe is the second half of a heartbeat.
func (c *cluster) observe(n string) {
	s := c.entries[n]
	for id := range c.limits[n] {
		s.SetInFlight(id, c.inFlight[n][id])
	}
	for _, to := range c.names {
		if to != n {
			c.inTransit = append(c.inTransit, message{n, to, s.Outgoing(to)})
		}
	}
}

// start starts up to n requests on the free slots of an instance.
func (c *cluster) start(name, instance string, n int) {
	for range n {
		if c.inFlight[name][instance] < c.limits[name][instance] {
			c.inFlight[name][instance]++
		}
	}
}

func (c *cluster) deliver(i int) {
	m := c.inTransit[i]
	c.entries[m.to].OnPeer(m.from, m.share)
}

func (c *cluster) totalInFlight(instance string) int {
	n := 0
	for _, f := range c.inFlight {
		n += f[instance]
	}
	return n
}

// runRounds runs whole rounds in which every message arrives.
func (c *cluster) runRounds(rounds int) {
	for range rounds {
		for _, n := range c.names {
			c.deliverAllAcked(n)
			c.heartbeat(n)
		}
		for i := range c.inTransit {
			c.deliver(i)
		}
		c.inTransit = nil
	}
}

// loanActions are the actions with a fixed membership: heartbeats and requests
// in any order, with messages lost, repeated or reordered. Their keys determine
// the sequence that rapid draws for a seed.
func (c *cluster) loanActions(slots int) map[string]func(*rapid.T) {
	entry := rapid.Custom(func(t *rapid.T) string { return rapid.SampledFrom(c.names).Draw(t, "entry") })
	return map[string]func(*rapid.T){
		"round": func(t *rapid.T) { c.heartbeat(entry.Draw(t, "e")) },
		"interrupted": func(t *rapid.T) { // a message arrives between the halves of a heartbeat
			n := entry.Draw(t, "e")
			c.limits[n] = c.entries[n].Publish()
			if len(c.inTransit) > 0 {
				c.deliver(rapid.IntRange(0, len(c.inTransit)-1).Draw(t, "message"))
			}
			c.observe(n)
		},
		"demand": func(t *rapid.T) { // one entry has all the demand
			busy := entry.Draw(t, "e")
			for _, n := range c.names {
				c.entries[n].SetDemand("p", 0)
			}
			c.entries[busy].SetDemand("p", 50)
		},
		"fill": func(t *rapid.T) {
			for n, e := 0, entry.Draw(t, "e"); n < len(c.instances); n++ {
				c.start(e, c.instances[n].ID, slots)
			}
		},
		"finish": func(t *rapid.T) {
			f := c.inFlight[entry.Draw(t, "e")]
			for _, i := range c.instances {
				f[i.ID] -= rapid.IntRange(0, f[i.ID]).Draw(t, "n")
			}
		},
		"deliver": func(t *rapid.T) { // a message stays in transit: it may arrive again, late
			for range min(len(c.inTransit), 4) {
				c.deliver(rapid.IntRange(0, len(c.inTransit)-1).Draw(t, "message"))
			}
		},
		"heartbeat": func(t *rapid.T) {
			first := len(c.inTransit)
			for _, n := range c.names {
				c.heartbeat(n)
			}
			for i := range c.inTransit[first:] {
				if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
					c.deliver(first + i)
				}
			}
		},
		"lose": func(t *rapid.T) {
			if n := len(c.inTransit); n > 60 {
				c.inTransit = slices.Delete(c.inTransit, 0, rapid.IntRange(1, n-20).Draw(t, "messages"))
			}
		},
		"": func(t *rapid.T) {
			for _, i := range c.instances {
				if n := c.totalInFlight(i.ID); n > slots {
					t.Fatalf("%s: %d requests in flight, %d slots", i.ID, n, slots)
				}
			}
		},
	}
}

// memberActions are the additional actions while entries join and leave and
// instances are removed and return.
func (c *cluster) memberActions() map[string]func(*rapid.T) {
	entry := rapid.Custom(func(t *rapid.T) string { return rapid.SampledFrom(c.names).Draw(t, "entry") })
	sets := [][]string{{"a", "b"}, {"a", "b", "c"}, {"a", "b", "c", "d"}, {"b", "d"}, {"a", "c"}}
	return map[string]func(*rapid.T){
		"silent": func(t *rapid.T) { c.entries[entry.Draw(t, "e")].PeerSilent(entry.Draw(t, "peer")) },
		"change": func(t *rapid.T) {
			if c.version == c.allAcked || rapid.IntRange(0, 4).Draw(t, "rare") == 0 {
				c.newMembership(rapid.SampledFrom(sets).Draw(t, "members")...)
			}
		},
		"learn": func(t *rapid.T) { c.deliverMembership(entry.Draw(t, "e")) },
		"agree": func(t *rapid.T) { // all entries acknowledge what they may; one is notified
			for _, n := range c.names {
				c.deliverMembership(n)
				c.heartbeat(n)
				c.ack(n)
			}
			c.advanceAllAcked()
			c.deliverAllAcked(entry.Draw(t, "e"))
		},
		"hear": func(t *rapid.T) {
			for _, n := range c.names {
				if rapid.IntRange(0, 3).Draw(t, "late") > 0 {
					c.deliverAllAcked(n)
				}
			}
		},
		"gone": func(t *rapid.T) { c.entries[entry.Draw(t, "e")].SetInstances(nil) },
		"back": func(t *rapid.T) {
			for _, n := range c.names {
				c.entries[n].SetInstances(map[string][]Instance{"p": c.instances})
			}
		},
	}
}

// Messages between entries are lost, repeated, late and reordered while
// requests start on any free slot. At no time may all entries together have
// more requests in flight to an instance than it has slots: the endpoint would
// refuse or queue requests that were already admitted.
func TestNeverMoreThanSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 9).Draw(t, "slots")
		w := newCluster(2, slots, "a", "b", "c")
		w.runRounds(2)
		t.Repeat(w.loanActions(slots))
	})
}

// As above while entries join and leave: an old and a new division of the slots
// are in use at the same time, and loans of the old one have not ended.
func TestNeverMoreThanSlotsAcrossMembershipChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 9).Draw(t, "slots")
		w := newCluster(2, slots, "a", "b", "c")
		w.runRounds(2)
		actions := w.loanActions(slots)
		maps.Copy(actions, w.memberActions())
		t.Repeat(actions)
	})
}
