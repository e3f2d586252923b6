// Package fleet measures the decisions about the fleet: the spare that must be
// held, the moves a change takes, how long a roll-out lasts, what a planning
// round costs, and how soon urgent work starts. Each stands beside its baseline.
//
// Time is counted in planning rounds, as the decisions know no other clock: a
// move or a drain takes a set number of rounds. Only the cost of a round itself
// is measured in processor time.
package fleet

import (
	"bufio"
	"fmt"
	"io"
	"runtime"
)

// ReportError says that the figures could not be written.
type ReportError struct{ Cause error }

func (e *ReportError) Error() string { return "writing the figures: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReportError) Unwrap() error { return e.Cause }

// report is the page under way. Errors of writing are kept by the buffer and
// returned when it is flushed.
type report struct{ w *bufio.Writer }

func (r report) line(format string, args ...any) { fmt.Fprintf(r.w, format+"\n", args...) }

// Run measures all and writes the figures as Markdown.
func Run(w io.Writer) error { return RunSizes(w, costSizes) }

// RunSizes is Run with the cost of a round measured at the given numbers of
// workers; three at the least.
func RunSizes(w io.Writer, sizes []int) error {
	r := report{w: bufio.NewWriter(w)}
	r.line("Machine: %d cores, %s, %s/%s.", runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
	r.line("")
	for _, measure := range []func(report){
		measureBuffer, measureMoves, measureRollout, measureWaveCurve, measureUrgent,
		func(r report) { measureCost(r, sizes) },
	} {
		measure(r)
		if err := r.w.Flush(); err != nil {
			return &ReportError{Cause: err}
		}
	}
	return nil
}
