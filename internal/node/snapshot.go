package node

import (
	"context"
	"time"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/fold"
)

const (
	// snapshotRecords is how many records may follow a snapshot before the next is due. It
	// bounds what a starting process folds (about a second).
	snapshotRecords = 20_000
	// snapshotEvery bounds the time between snapshots. It must stay below half of the
	// log's retention; otherwise a starting process could find the log trimmed with no
	// snapshot after it.
	snapshotEvery = 2 * time.Minute
	// snapshotRankDelay is the extra delay per rank, so that only the member of lowest
	// rank writes the snapshot.
	snapshotRankDelay = 5 * time.Second
	// snapshotTimeout bounds the writing of one snapshot.
	snapshotTimeout = 30 * time.Second
)

// snapshotter writes a snapshot of the folded state to the log when one is due.
type snapshotter struct {
	busy   bool
	markAt time.Duration // local time when the newest mark was seen
	mark   uint64
}

func (n *Node) snapshotIfDue() {
	s := &n.snapshotter
	st := n.State()
	if st.Snapshot.Offset != s.mark || s.markAt == 0 {
		s.mark, s.markAt = st.Snapshot.Offset, n.Now()
	}
	if s.busy || !n.Joined() || n.leaving {
		return
	}
	wait := time.Duration(n.rank()) * snapshotRankDelay
	due := n.Now()-s.markAt > n.snapshotEvery()+wait && st.Offset > s.mark+2
	if !due && (st.Offset < s.mark+snapshotRecords || n.rank() != 0) {
		return
	}
	s.busy = true
	n.SubmitAsync(snapshotTimeout, fleetlog.KindMark, 0, fleetlog.Mark{AppliedOffset: st.Offset},
		func(v fold.Verdict, _ error) {
			if !v.Accepted {
				s.busy = false
				return
			}
			n.writeParts()
		})
}

func (n *Node) snapshotEvery() time.Duration {
	if n.opts.SnapshotEvery > 0 {
		return n.opts.SnapshotEvery
	}
	return snapshotEvery
}

// rank returns the position of this process among the members; the planner comes first.
func (n *Node) rank() int {
	lease := n.State().Lease
	if lease.Holder == n.opts.Self.ID && lease.BootID == n.opts.Self.BootID && !lease.Released {
		return 0
	}
	rank := 1
	for id := range n.State().Members.Members {
		if id < n.opts.Self.ID {
			rank++
		}
	}
	return rank
}

func (n *Node) writeParts() {
	encoded, replaces := n.replica.MarkedState()
	if encoded == nil {
		n.snapshotter.busy = false
		return
	}
	n.wg.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, snapshotTimeout)
		defer cancel()
		defer n.post(func() { n.snapshotter.busy = false })
		for _, p := range fleetlog.Split(encoded, replaces) {
			rec, err := fleetlog.NewRecord(fleetlog.KindPart, n.opts.Self.ID, 0, p)
			if err == nil {
				_, err = fleetlog.AppendWithRetry(ctx, n.opts.Platform, rec)
			}
			if err != nil {
				n.log.Warn("cannot write snapshot", "offset", replaces, "error", err.Error())
				return
			}
		}
		n.log.Info("snapshot written", "offset", replaces, "bytes", len(encoded))
	})
}
