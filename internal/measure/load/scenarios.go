package load

import (
	"fmt"
	"io"
	"slices"
	"time"

	"cyclamenwheel/internal/admission"
	"cyclamenwheel/internal/dispatch/pick"
	"cyclamenwheel/internal/dispatch/retry"
)

// The pool of the scenarios: ten workers of eight slots, as in the aim's
// numbers, and requests of 50 ms on average, so that 1600 a second fill it.
const (
	workers  = 10
	slotsOf  = 8
	mean     = 50 * time.Millisecond
	capacity = float64(workers*slotsOf) * float64(time.Second) / float64(mean)
	timeout  = time.Second
	runTime  = 30 * time.Second
	warmup   = 5 * time.Second
	zones    = 4
	someSeed = 7
)

// within counts the times in the second from from on; times are sorted.
func within(times []time.Duration, from time.Duration) int {
	lo, _ := slices.BinarySearch(times, from)
	hi, _ := slices.BinarySearch(times, from+time.Second)
	return hi - lo
}

// plain is the one kind of work of most scenarios.
func plain() []Work {
	return []Work{{Kind: "plain", Mean: mean, Part: 1, MayRun: true, Timeout: timeout}}
}

// mixed has the same mean: nine short requests to one long one.
func mixed() []Work {
	return []Work{
		{Kind: "short", Mean: 20 * time.Millisecond, Part: 0.9, MayRun: true, Timeout: timeout},
		{Kind: "long", Mean: 320 * time.Millisecond, Part: 0.1, MayRun: true, Timeout: 3 * time.Second},
	}
}

// scenario is the pool with the product's decisions, or with the baselines.
func scenario(product bool, work []Work, sources ...Source) Scenario {
	sc := Scenario{
		Seed: someSeed, Length: runTime, Warmup: warmup, Work: work, Sources: sources,
		Backends: backends(workers, slotsOf, zones),
		Picker:   pick.NewRoundRobin(), Queue: admission.NewFIFO(),
		Retry: retry.Fixed{Wait: retry.BackoffBase},
	}
	if product {
		sc.Picker = pick.NewLeastLoaded("0", someSeed)
		sc.Queue = admission.NewFair(someSeed)
		sc.Retry = retry.NewBudget(someSeed)
	}
	return sc
}

// callers spreads a rate over n equal callers.
func callers(n int, rate float64) []Source {
	var out []Source
	for i := range n {
		out = append(out, Source{Name: fmt.Sprintf("c%d", i), Rate: steady(rate / float64(n))})
	}
	return out
}

// usefulPart is useful answers relative to what the pool can do.
func usefulPart(r Result) float64 {
	return float64(r.Useful) / (capacity * r.Span.Seconds())
}

// usefulWork is the part of the slots' time that went into useful answers.
func usefulWork(r Result) float64 {
	return float64(r.Work) / float64(workers*slotsOf*r.Span)
}

func variant(product bool) string {
	if product {
		return "cyclamenwheel"
	}
	return "baseline"
}

var both = []bool{true, false}

func millis(micros int64) string { return fmt.Sprintf("%.1f ms", float64(micros)/1000) }

// Saturation offers 1, 2 and 5 times the capacity.
func Saturation(w io.Writer) error {
	t := newTable("Useful answers under saturation (baseline: unbounded FIFO)",
		"work", "offered / capacity", "decisions", "useful / capacity", "useful work / capacity", "late", "refused", "failed", "answer p50", "answer p99", "refusal p99")
	for _, work := range []struct {
		name string
		list []Work
	}{{"plain", plain()}, {"mixed", mixed()}} {
		for _, factor := range []float64{1, 2, 5} {
			for _, product := range both {
				r := Run(scenario(product, work.list, callers(20, factor*capacity)...))
				t.row(work.name, fmt.Sprint(factor), variant(product), percent(usefulPart(r)), percent(usefulWork(r)),
					r.Late, r.Refused, r.Failed, millis(r.Latency.ValueAtQuantile(50)),
					millis(r.Latency.ValueAtQuantile(99)), millis(r.Refusals.ValueAtQuantile(99)))
			}
		}
	}
	return t.write(w)
}

// Greedy has one caller ask for five times the capacity beside nineteen that
// ask for half of it together: each less than its fair share.
func Greedy(w io.Writer) error {
	t := newTable("One greedy caller beside nineteen modest ones (baseline: unbounded FIFO)",
		"decisions", "modest callers: useful / asked", "worst modest caller", "greedy: useful / capacity", "all: useful / capacity")
	for _, product := range both {
		r := Run(greedy(product))
		all, worst := modest(r)
		t.row(variant(product), percent(all), percent(worst),
			percent(float64(r.ByCaller["greedy"])/(capacity*r.Span.Seconds())), percent(usefulPart(r)))
	}
	return t.write(w)
}

func greedy(product bool) Scenario {
	sources := append(callers(19, capacity/2), Source{Name: "greedy", Rate: steady(5 * capacity)})
	return scenario(product, plain(), sources...)
}

// modest returns the part of their requests that all modest callers, and the
// worst off of them, got useful answers to.
func modest(r Result) (all, worst float64) {
	good, asked := 0, 0
	worst = 1
	for name, n := range r.OfferedBy {
		if name == "greedy" {
			continue
		}
		good += r.ByCaller[name]
		asked += n
		worst = min(worst, float64(r.ByCaller[name])/float64(n))
	}
	return float64(good) / float64(asked), worst
}

// Burst sends three times the capacity for half a second, every five seconds.
func Burst(w io.Writer) error {
	t := newTable("Bursts of 3 x capacity for 0.5 s every 5 s, 0.5 x between (baseline: unbounded FIFO, round robin)",
		"decisions", "useful / offered", "late", "refused", "failed", "answer p99")
	for _, product := range both {
		r := Run(scenario(product, plain(), burst(20)...))
		t.row(variant(product), percent(float64(r.Useful)/float64(r.Offered)), r.Late, r.Refused, r.Failed,
			millis(r.Latency.ValueAtQuantile(99)))
	}
	return t.write(w)
}

func burst(n int) []Source {
	var out []Source
	for i := range n {
		out = append(out, Source{Name: fmt.Sprintf("c%d", i), Rate: func(at time.Duration) float64 {
			if at%(5*time.Second) < 500*time.Millisecond {
				return 3 * capacity / float64(n)
			}
			return capacity / 2 / float64(n)
		}})
	}
	return out
}

// SlowEndpoint makes one of ten endpoints ten times slower.
func SlowEndpoint(w io.Writer) error {
	t := newTable("One endpoint of ten is 10 x slower, 0.6 x capacity (baseline: round robin)",
		"work", "decisions", "slow", "useful / offered", "p50", "p99 of the other nine", "p99 of all", "p99 of the other nine / healthy pool")
	for _, work := range []struct {
		name string
		list []Work
	}{{"plain", plain()}, {"mixed", mixed()}} {
		for _, product := range both {
			healthy := int64(0)
			for _, slow := range []float64{1, 10} {
				r := Run(slowOne(product, work.list, slow))
				rest := restP99(r)
				if slow == 1 {
					healthy = r.Latency.ValueAtQuantile(99)
				}
				t.row(work.name, variant(product), slow > 1, percent(float64(r.Useful)/float64(r.Offered)),
					millis(r.Latency.ValueAtQuantile(50)), millis(rest), millis(r.Latency.ValueAtQuantile(99)),
					fmt.Sprintf("%.2f", float64(rest)/float64(healthy)))
			}
		}
	}
	return t.write(w)
}

func slowOne(product bool, work []Work, factor float64) Scenario {
	sc := scenario(product, work, callers(20, 0.6*capacity)...)
	sc.Backends[0].Slow = factor
	return sc
}

// restP99 is the 99th percentile of answers from all endpoints but the first.
func restP99(r Result) int64 {
	rest := newHistogram()
	for id, h := range r.LatencyOn {
		if id != "w00" {
			rest.Merge(h)
		}
	}
	return rest.ValueAtQuantile(99)
}
