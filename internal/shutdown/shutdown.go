// Package shutdown runs the steps of a graceful shutdown in order, each with a
// time limit. The usual order is: leave the load balancer, stop accepting work,
// finish requests in flight, then release what other processes wait for. The
// daemons and the nodes call it with their steps when they stop.
package shutdown

import (
	"context"
	"fmt"
	"log/slog"
	"time"
)

// Step is one part of a graceful shutdown.
type Step struct {
	Name string
	// Limit bounds the step; the next step runs regardless of its result.
	Limit time.Duration
	Run   func(context.Context) error
}

// IncompleteError lists the steps that failed.
type IncompleteError struct{ Steps []string }

func (e *IncompleteError) Error() string { return fmt.Sprintf("shutdown incomplete: %v", e.Steps) }

// Run runs the steps in order. A failed step does not prevent the later ones: an
// entry that cannot reach the log must still let requests in flight finish.
func Run(ctx context.Context, log *slog.Logger, steps []Step) error {
	var failed []string
	for _, s := range steps {
		start := time.Now()
		err := runStep(ctx, s)
		if err != nil {
			failed = append(failed, s.Name)
			log.Warn("shutdown step", "step", s.Name, "error", err.Error())
			continue
		}
		log.Info("shutdown step", "step", s.Name, "duration_ms", time.Since(start).Milliseconds())
	}
	if len(failed) > 0 {
		return &IncompleteError{Steps: failed}
	}
	return nil
}

func runStep(ctx context.Context, s Step) error {
	ctx, cancel := context.WithTimeout(ctx, s.Limit)
	defer cancel()
	return s.Run(ctx)
}

// Wait returns a step that only waits, for example until the load balancer has
// noticed that the process is no longer ready.
func Wait(name string, d time.Duration) Step {
	return Step{Name: name, Limit: d + time.Second, Run: func(ctx context.Context) error {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		return nil
	}}
}
