// Package fleet measures the planning decisions: spares needed, moves, roll-out time, cost of a
// planning round and start delay of urgent work, each compared with a baseline. It runs the
// planners on simulated fleets of fixed hardware and seeds, and counts time in planning rounds,
// because the planners have no other clock: a move or drain takes a fixed number of rounds, and
// only the cost of a round is measured in real time. The command cyclamen-measure calls Run,
// which writes the figures as Markdown.
package fleet

import (
	"bufio"
	"fmt"
	"io"
	"runtime"
)

// ReportError reports that the figures could not be written.
type ReportError struct{ Cause error }

func (e *ReportError) Error() string { return "write figures: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReportError) Unwrap() error { return e.Cause }

// report writes lines to a buffer. Write errors are kept by the buffer and returned by Flush.
type report struct{ w *bufio.Writer }

func (r report) line(format string, args ...any) { fmt.Fprintf(r.w, format+"\n", args...) }

// Run runs all measurements and writes the figures as Markdown.
func Run(w io.Writer) error { return RunSizes(w, costSizes) }

// RunSizes is Run with the cost of a round measured at the given numbers of workers. It needs
// at least three sizes, because the growth is fitted without the smallest.
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
