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

// settledPoll is how often the fold is looked at while nothing is appended.
const settledPoll = 200 * time.Millisecond

// Settled is the result of settled: the fleet is as the manifest says.
type Settled struct {
	Generation uint64         `json:"generation"`
	Pools      map[string]int `json:"pools"`
	Spares     int            `json:"spares"`
	// Moves counts committed moves between pools since the manifest in force
	// was accepted, MovesDoneMillis the time from then to the last of them.
	Moves           int   `json:"moves"`
	MovesDoneMillis int64 `json:"moves_done_ms"`
}

// NotSettledError says what is still missing.
type NotSettledError struct{ Detail string }

func (e *NotSettledError) Error() string { return "not settled: " + e.Detail }

// Unwrap marks it as a timeout.
func (e *NotSettledError) Unwrap() error { return context.DeadlineExceeded }

func settledCommand() *Command {
	var conn connection
	var asJSON bool
	timeout := 2 * time.Minute
	return &Command{
		Name: "settled", Summary: "Wait until every pool has its instances and no operation is in progress.",
		Flags: func(sub *flaggy.Subcommand) {
			conn.flags(sub)
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
			return output(err)
		},
	}
}

// moveCounter counts moves as it follows the fold.
type moveCounter struct {
	poolOf     map[string]string
	generation uint64
	moves      int
	lastMillis int64
}

func (c *moveCounter) observe(st *fleetlog.State) {
	if st.Manifest.Generation != c.generation {
		c.generation, c.moves, c.lastMillis = st.Manifest.Generation, 0, 0
	}
	for id, in := range st.Pools.Instances {
		if was, known := c.poolOf[id]; known && was != in.Pool {
			c.moves++
			c.lastMillis = st.TimeMillis - st.Manifest.TimeMillis
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
	missing := "nothing read yet"
	for {
		_, atHead, err := f.read(ctx, settledPoll)
		if atHead && err == nil {
			if missing = unsettled(f.state()); missing == "" {
				return settledResult(f.state(), counter), nil
			}
		}
		if ctx.Err() != nil {
			return Settled{}, &NotSettledError{Detail: missing}
		}
	}
}

// unsettled names the first difference between fleet and manifest.
func unsettled(st *fleetlog.State) string {
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
	return wanted(st)
}

// wanted names the first move that the planner has yet to begin: where
// instances are to change places, every pool has the right number of them all
// the time.
func wanted(st *fleetlog.State) string {
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
		Moves: c.moves, MovesDoneMillis: c.lastMillis,
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
