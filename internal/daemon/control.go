package daemon

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/planner"
	"cyclamenwheel/internal/settings"
	"cyclamenwheel/internal/shutdown"
)

const (
	// controlGCPercent is the heap growth, in percent of the live heap, that
	// triggers a garbage collection in a control process.
	controlGCPercent = 50
	// lastStepLimit bounds each shutdown step that writes a final record.
	lastStepLimit = 5 * time.Second
	// challengeStagger is the additional delay of each further candidate for
	// the planner lease. It is longer than a claim takes to be read back.
	challengeStagger = 150 * time.Millisecond
)

// ControlMain runs cyclamen-control and returns its exit code.
func ControlMain(args []string) int {
	f := parseFlags("cyclamen-control", "plans moves, maintenance and job placement", args)
	s, err := settings.LoadControl(f.file)
	if code, done := f.handleExit(settings.ControlTable(), err); done {
		return code
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	d, err := New(s.Common, membership.Member{Role: membership.RoleControl})
	if err != nil {
		os.Stderr.WriteString(err.Error() + "\n")
		return exitFailure
	}
	// A control process allocates little and shares a small instance with an
	// entry process, so half the default heap growth costs next to nothing.
	debug.SetGCPercent(controlGCPercent)
	p := planner.New(planner.Options{
		Node: d.Node, Platform: d.Platform, Logger: d.Log, FenceAfter: s.FenceAfter,
		Timing: planlease.Timing{
			TTL: s.Timing.LeaseTTL, RenewEvery: s.Timing.LeaseTTL / 3, Stagger: challengeStagger,
		},
	})
	d.Operator.RegisterDump("planner", p.Dump)
	if err := d.Start(p); err != nil {
		d.Log.Error("cannot start", "error", err.Error())
		return exitFailure
	}
	d.Log.Info("started", "operator", d.Operator.Addr().String())
	<-stop.Done()
	return stopControl(d, p, s)
}

func stopControl(d *Daemon, p *planner.Planner, s settings.ControlSettings) int {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timing.ShutdownLimit)
	defer cancel()
	err := shutdown.Run(ctx, d.Log, []shutdown.Step{
		{Name: "release lease", Limit: lastStepLimit, Run: p.Release},
		{Name: "leave members", Limit: lastStepLimit, Run: d.Node.Leave},
	})
	d.Close()
	if err != nil {
		return exitFailure
	}
	return exitOK
}
