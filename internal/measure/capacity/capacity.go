// Package capacity measures what state, messages and processor time grow with,
// and fits slopes from which docs/CAPACITY.md works out the aim's size. It
// drives the same code as the daemons do, in one process.
package capacity

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"time"
)

// sizes are the fleet sizes measured; the last is the aim's.
var sizes = []int{50, 500, 5000, 11000}

// point is one measurement at a size.
type point struct{ x, y float64 }

// fit is y = a + b·x by least squares, weighted by 1/x² so that the small
// sizes, which the large ones would drown, count as much.
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

// exponent is the growth exponent between the first and the last point.
func exponent(points []point) float64 {
	first, last := points[0], points[len(points)-1]
	if first.y <= 0 || last.y <= 0 {
		return 0
	}
	return math.Log(last.y/first.y) / math.Log(last.x/first.x)
}

// each times f: it repeats it until enough time has passed to measure, and
// returns the mean.
func each(f func()) time.Duration {
	const enough = 50 * time.Millisecond
	f() // warm up
	for n := 1; ; n *= 2 {
		start := time.Now()
		for range n {
			f()
		}
		if took := time.Since(start); took >= enough {
			return took / time.Duration(n)
		}
	}
}

// heapOf returns the heap that what build returns holds. What build makes only
// once, such as caches of types, is made before.
func heapOf(build func() any) float64 {
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

// row is one measured quantity over a size.
type row struct {
	name, unit string
	points     []point
}

// table prints rows over the sizes in markdown, with the fit.
func table(w io.Writer, over string, rows []row) error {
	if _, err := fmt.Fprintf(w, "\n| %s |", over); err != nil {
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
		if _, err := fmt.Fprintf(w, " %.3g + %.3g·n | %.2f |\n", a, b, exponent(r.points)); err != nil {
			return err
		}
	}
	return nil
}

// Run measures everything and prints markdown.
func Run(w io.Writer) error {
	fmt.Fprintf(w, "Machine: %d cores, %s, %s/%s.\n", runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
	for _, part := range []func(io.Writer) error{foldCosts, entryCosts, heartbeatCosts} {
		if err := part(w); err != nil {
			return err
		}
	}
	return nil
}
