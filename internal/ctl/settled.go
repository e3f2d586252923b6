package ctl

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/integrii/flaggy"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/pools"
)

// settledReadWait bounds one read of the log, and so the interval between checks
// while nothing is appended.
const settledReadWait = 200 * time.Millisecond

// Settled is the result of the settled command: the fleet matches the manifest.
type Settled struct {
	Generation uint64         `json:"generation"`
	Pools      map[string]int `json:"pools"`
	Spares     int            `json:"spares"`
	// Moves counts committed moves between pools since the manifest in force
	// was accepted. MovesDoneMillis is the time from then to the last of them.
	Moves           int   `json:"moves"`
	MovesDoneMillis int64 `json:"moves_done_ms"`
}

// NotSettledError reports the first difference between fleet and manifest at
// the timeout.
type NotSettledError struct{ Detail string }

func (e *NotSettledError) Error() string { return "not settled: " + e.Detail }

// Unwrap makes the error count as a timeout for ExitCode.
func (e *NotSettledError) Unwrap() error { return context.DeadlineExceeded }

func settledCommand() *Command {
	var conn connection
	var asJSON bool
	timeout := 2 * time.Minute
	return &Command{
		Name: "settled", Summary: "Wait until every pool has its instances and no operation is in progress.",
		Flags: func(sub *flaggy.Subcommand) {
			conn.addFlags(sub)
			sub.Duration(&timeout, "t", "timeout", "How long to wait.")
			sub.Bool(&asJSON, "", "json", "Print as JSON.")
		},
		Run: func(ctx context.Context, streams Streams, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			result, err := awaitSettled(ctx, newFollower(conn.platform()))
			if err != nil {
				return err
			}
			if asJSON {
				return encode(streams.Out, result)
			}
			_, err = fmt.Fprintf(streams.Out, "generation %d: %d moves done after %d ms; pools %v, %d spares\n",
				result.Generation, result.Moves, result.MovesDoneMillis, result.Pools, result.Spares)
			return outputError(err)
		},
	}
}

// moveCounter counts moves between pools by comparing successive states.
type moveCounter struct {
	poolOf         map[string]string
	generation     uint64
	moves          int
	lastMoveMillis int64
}

func (c *moveCounter) observe(st *fleetlog.State) {
	if st.Manifest.Generation != c.generation {
		c.generation, c.moves, c.lastMoveMillis = st.Manifest.Generation, 0, 0
	}
	for id, in := range st.Pools.Instances {
		if was, known := c.poolOf[id]; known && was != in.Pool {
			c.moves++
			c.lastMoveMillis = st.TimeMillis - st.Manifest.TimeMillis
		}
		c.poolOf[id] = in.Pool
	}
}

func awaitSettled(ctx context.Context, f *follower) (Settled, error) {
	counter := &moveCounter{poolOf: make(map[string]string)}
	f.onApply = func(a fleetlog.Applied) {
		if a.Record.Kind == fleetlog.KindCommit || a.Record.Kind == fleetlog.KindPublish || a.Record.Kind == fleetlog.KindSeen {
			counter.observe(f.state())
		}
	}
	difference := "nothing read yet"
	for {
		_, atHead, err := f.read(ctx, settledReadWait)
		if atHead && err == nil {
			if difference = firstDifference(f.state()); difference == "" {
				return settledResult(f.state(), counter), nil
			}
		}
		if ctx.Err() != nil {
			return Settled{}, &NotSettledError{Detail: difference}
		}
	}
}

// firstDifference describes a difference between fleet and manifest; it is
// empty if the fleet has settled.
func firstDifference(st *fleetlog.State) string {
	man := st.Manifest.Current()
	if man == nil {
		return "no manifest in force"
	}
	for id, in := range st.Pools.Instances {
		if in.Phase == pools.PhaseMoving || in.Phase == pools.PhaseDraining {
			return id + " is " + in.Phase.String()
		}
	}
	for i := range man.Pools {
		p := &man.Pools[i]
		if have := st.Pools.Available(p.Name); have != p.Instances.Size() {
			return fmt.Sprintf("pool %s has %d of %d instances", p.Name, have, p.Instances.Size())
		}
	}
	return firstPendingMove(st)
}

// firstPendingMove describes a move that the planner has not begun yet. Counting
// the instances of each pool is not enough: if instances are to swap pools, the
// counts are right before the swap has begun.
func firstPendingMove(st *fleetlog.State) string {
	in := pools.Input{Manifest: st.Manifest.Current()}
	for _, inst := range st.Pools.Instances {
		in.Instances = append(in.Instances, inst)
	}
	d := pools.Decide(in)
	for _, w := range d.Waits {
		d.Moves = append(d.Moves, w.Move)
	}
	if len(d.Moves) == 0 {
		return ""
	}
	m := d.Moves[0]
	return fmt.Sprintf("%s is to move to %s", m.Instance, cmp.Or(m.To, "the spares"))
}

func settledResult(st *fleetlog.State, c *moveCounter) Settled {
	out := Settled{
		Generation: st.Manifest.Generation, Pools: make(map[string]int),
		Moves: c.moves, MovesDoneMillis: c.lastMoveMillis,
	}
	for _, in := range st.Pools.Instances {
		if in.Pool == "" {
			out.Spares++
			continue
		}
		out.Pools[in.Pool]++
	}
	return out
}
