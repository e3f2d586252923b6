package node

import (
	"time"

	"cyclamenwheel/internal/platform"
)

const (
	// listWait is how long a read of the list waits for news. It bounds how
	// old the knowledge gets that there are none; a process costs the platform
	// one or two such reads a second.
	listWait = 500 * time.Millisecond
	// listCurrentFor is how long after a read the list counts as current: two
	// reads without news and the usual pause between them, with room for one
	// that is slow. An endpoint that is leaving must get no new work after a
	// few seconds, and this is the larger part of them. Where reads are set to
	// be rarer, endpoints are asked in between.
	listCurrentFor = 2 * time.Second
)

// listAnswer is one answer to a read of the list.
type listAnswer struct {
	list platform.InstanceList
	// asked is the time of asking, not of the answer: a process that was paused
	// in between finds the answer of a time long past.
	asked time.Duration
}

func (n *Node) pollList() {
	var since uint64
	for n.ctx.Err() == nil {
		asked := n.Now()
		list, err := n.opts.Platform.Instances(n.ctx, since, listWait)
		if err == nil {
			since = max(since, list.Version)
			select {
			case n.lists <- listAnswer{list: list, asked: asked}:
			case <-n.ctx.Done():
			}
		}
		pause(n.ctx.Done(), n.opts.ListPoll)
	}
}

// ListCurrent reports whether the platform's list was read lately, and acted on. Any
// goroutine may call it.
func (n *Node) ListCurrent() bool {
	asked := time.Duration(n.listAsked.Load())
	return asked != 0 && n.Now()-asked < listCurrentFor
}

func pause(done <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// onList takes an answer. The list counts as current only when the hooks have
// acted on it.
//
// Failure prevented: an entry wakes from a pause and reads the list; the list
// counts as current at once, and requests go by the route table of before the
// pause until the new one is in force.
func (n *Node) onList(a listAnswer) {
	if a.list.Version > n.list.Version {
		n.takeList(a.list)
	}
	n.listAsked.Store(int64(a.asked))
}

func (n *Node) takeList(l platform.InstanceList) {
	n.list = l
	n.listIndex = make(map[string]*platform.Instance, len(l.Instances))
	for i := range l.Instances {
		n.listIndex[l.Instances[i].ID] = &l.Instances[i]
	}
	n.beatWanted = true
	n.hooks.ListChanged()
}

// learnNotLive takes a newer list's losses from a peer. It only ever takes
// instances out: an instance comes back by the list itself.
func (n *Node) learnNotLive(hb Heartbeat) {
	n.notLive = make(map[string]bool, len(hb.NotLive))
	for _, id := range hb.NotLive {
		n.notLive[id] = true
	}
	n.notLiveV = hb.ListVersion
	n.beatWanted = true
	n.hooks.ListChanged()
}

// ownNotLive is what goes on heartbeats: the workers that the own list does not
// have as live. Those that the fold knows and the list no longer has are among
// them: an instance drops off the list when it has gone, and a peer that took
// its absence here for its return would send work to it again.
func (n *Node) ownNotLive() []string {
	at := [2]uint64{n.list.Version, n.State().Pools.Version}
	if n.list.Version == 0 || at == n.ownNotLiveAt {
		return n.ownNotLiveIDs
	}
	var out []string
	for i := range n.list.Instances {
		in := &n.list.Instances[i]
		if in.Kind == platform.KindWorker && in.State != platform.StateLive {
			out = append(out, in.ID)
		}
	}
	for id := range n.State().Pools.Instances {
		if n.listIndex[id] == nil {
			out = append(out, id)
		}
	}
	n.ownNotLiveIDs, n.ownNotLiveAt = out, at
	return out
}

// List is the newest instance list read; loop-only.
func (n *Node) List() platform.InstanceList { return n.list }

// Listed returns the list's row of an instance, nil if it has none; loop-only.
func (n *Node) Listed(id string) *platform.Instance { return n.listIndex[id] }

// Live reports whether the newest word on an instance is that it is live.
// Before any list is known, instances count as live: the health check before
// the first request decides.
func (n *Node) Live(id string) bool {
	if n.notLiveV > n.list.Version && n.notLive[id] {
		return false
	}
	if n.list.Version == 0 {
		return true
	}
	in := n.listIndex[id]
	return in != nil && in.State == platform.StateLive
}
