package node

import (
	"time"

	"cyclamenwheel/internal/platform"
)

const (
	// listPollWait is how long a read of the instance list waits for a change. It bounds
	// how old the information gets that nothing has changed; a process costs the platform
	// one or two such reads a second.
	listPollWait = 500 * time.Millisecond
	// listMaxAge is how long after a read the list counts as current: two reads without a
	// change and the usual pause between them, with a margin for a slow one. A leaving
	// endpoint must get no new work after a few seconds, and this is the larger part of
	// them. Where reads are configured to be rarer, endpoints are queried in between.
	listMaxAge = 2 * time.Second
)

// listAnswer is the result of one read of the list.
type listAnswer struct {
	list platform.InstanceList
	// asked is the time of the request, not of the response: after a pause of the process
	// in between, the response describes a state long past.
	asked time.Duration
}

func (n *Node) pollList() {
	var since uint64
	for n.ctx.Err() == nil {
		asked := n.Now()
		list, err := n.opts.Platform.Instances(n.ctx, since, listPollWait)
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

// ListCurrent reports whether the platform's list was read recently and the hooks have
// acted on it. It is safe for concurrent use.
func (n *Node) ListCurrent() bool {
	asked := time.Duration(n.listAsked.Load())
	return asked != 0 && n.Now()-asked < listMaxAge
}

func pause(done <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// onList handles the result of a read. The list counts as current only once the hooks have
// acted on it.
//
// Failure prevented: an entry resumes after a pause and reads the list; if the list
// counted as current at once, requests would follow the route table from before the pause
// until the new one takes effect.
func (n *Node) onList(a listAnswer) {
	if a.list.Version > n.list.Version {
		n.applyList(a.list)
	}
	n.listAsked.Store(int64(a.asked))
}

func (n *Node) applyList(l platform.InstanceList) {
	n.list = l
	n.listIndex = make(map[string]*platform.Instance, len(l.Instances))
	for i := range l.Instances {
		n.listIndex[l.Instances[i].ID] = &l.Instances[i]
	}
	n.heartbeatRequested = true
	n.hooks.ListChanged()
}

// applyNotLive applies the instances that a peer with a newer list reports as not live. It
// only ever removes instances: they come back through the list itself.
func (n *Node) applyNotLive(hb Heartbeat) {
	n.notLive = make(map[string]bool, len(hb.NotLive))
	for _, id := range hb.NotLive {
		n.notLive[id] = true
	}
	n.notLiveVersion = hb.ListVersion
	n.heartbeatRequested = true
	n.hooks.ListChanged()
}

// workersNotLive returns the workers to report as not live in heartbeats: those that this
// process's list does not show as live, including those in the folded state that are no
// longer listed. An instance drops off the list when it has gone; a peer that took its
// absence from the heartbeat for a return would send work to it again.
func (n *Node) workersNotLive() []string {
	versions := [2]uint64{n.list.Version, n.State().Pools.Version}
	if n.list.Version == 0 || versions == n.workersNotLiveAt {
		return n.workersNotLiveIDs
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
	n.workersNotLiveIDs, n.workersNotLiveAt = out, versions
	return out
}

// List returns the newest instance list read; loop-only.
func (n *Node) List() platform.InstanceList { return n.list }

// Listed returns the list's entry for an instance, nil if there is none; loop-only.
func (n *Node) Listed(id string) *platform.Instance { return n.listIndex[id] }

// Live reports whether an instance is live by the newest information, from the list or a
// peer. Before the first list is read, instances count as live: the health check before
// the first request decides.
func (n *Node) Live(id string) bool {
	if n.notLiveVersion > n.list.Version && n.notLive[id] {
		return false
	}
	if n.list.Version == 0 {
		return true
	}
	in := n.listIndex[id]
	return in != nil && in.State == platform.StateLive
}
