// Package capacity measures how state size, message size and processor time grow with the size
// of the fleet, and fits a line from which docs/CAPACITY.md extrapolates to the target size. It
// runs the code of the daemons in one process, on generated fleets of several sizes. The command
// cyclamen-measure calls Run, which writes the results as markdown tables.
package capacity

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"time"
)

// sizes are the fleet sizes measured, in instances; the last is the target size.
var sizes = []int{50, 500, 5000, 11000}

// point is a measured value y at size x.
type point struct{ x, y float64 }

// fit returns the least-squares line y = a + b·x, weighted by 1/x² so that large sizes do not
// dominate the small ones.
func fit(points []point) (a, b float64) {
	var w, wx, wy, wxx, wxy float64
	for _, p := range points {
		k := 1 / (p.x * p.x)
		w += k
		wx += k * p.x
		wy += k * p.y
		wxx += k * p.x * p.x
		wxy += k * p.x * p.y
	}
	d := w*wxx - wx*wx
	if d == 0 {
		return 0, 0
	}
	b = (w*wxy - wx*wy) / d
	return (wy - b*wx) / w, b
}

// growthExponent is the exponent of the power law through the first and the last point.
func growthExponent(points []point) float64 {
	first, last := points[0], points[len(points)-1]
	if first.y <= 0 || last.y <= 0 {
		return 0
	}
	return math.Log(last.y/first.y) / math.Log(last.x/first.x)
}

// timePerCall returns the mean time of a call of f. It doubles the number of calls until they
// take long enough together to be measured.
func timePerCall(f func()) time.Duration {
	const minMeasuredTime = 50 * time.Millisecond
	f() // warm up
	for n := 1; ; n *= 2 {
		start := time.Now()
		for range n {
			f()
		}
		if took := time.Since(start); took >= minMeasuredTime {
			return took / time.Duration(n)
		}
	}
}

// heapGrowth returns the heap bytes retained by the result of build. It calls build once before
// measuring, so that one-time allocations such as type caches are not counted.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// row is one measured quantity at several sizes.
type row struct {
	name, unit string
	points     []point
}

// writeTable prints the rows by size as a markdown table, with the fit and the growth exponent.
func writeTable(w io.Writer, sizeLabel string, rows []row) error {
	if _, err := fmt.Fprintf(w, "\n| %s |", sizeLabel); err != nil {
		return err
	}
	for _, p := range rows[0].points {
		fmt.Fprintf(w, " %g |", p.x)
	}
	fmt.Fprint(w, " fit | exponent |\n|---|")
	for range rows[0].points {
		fmt.Fprint(w, "---|")
	}
	fmt.Fprint(w, "---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(w, "| %s (%s) |", r.name, r.unit)
		for _, p := range r.points {
			fmt.Fprintf(w, " %.4g |", p.y)
		}
		a, b := fit(r.points)
		if _, err := fmt.Fprintf(w, " %.3g + %.3g·n | %.2f |\n", a, b, growthExponent(r.points)); err != nil {
			return err
		}
	}
	return nil
}

// Run runs all measurements and prints markdown.
func Run(w io.Writer) error {
	fmt.Fprintf(w, "Machine: %d cores, %s, %s/%s.\n", runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
	for _, part := range []func(io.Writer) error{measureFold, measureEntry, measureHeartbeats} {
		if err := part(w); err != nil {
			return err
		}
	}
	return nil
}
