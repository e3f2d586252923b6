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

// The simulated pool: ten endpoints of eight slots, as in the project's targets. With a
// mean service time of 50 ms, 1600 requests per second saturate it.
const (
	endpointCount    = 10
	slotsPerEndpoint = 8
	meanServiceTime  = 50 * time.Millisecond
	capacity         = float64(endpointCount*slotsPerEndpoint) * float64(time.Second) / float64(meanServiceTime)
	requestTimeout   = time.Second
	runLength        = 30 * time.Second
	warmup           = 5 * time.Second
	zones            = 4
	defaultSeed      = 7
)

// countInSecond counts the times in the one-second window that starts at from; times must
// be sorted.
func countInSecond(times []time.Duration, from time.Duration) int {
	lo, _ := slices.BinarySearch(times, from)
	hi, _ := slices.BinarySearch(times, from+time.Second)
	return hi - lo
}

// plainWork is the single kind of work that most scenarios use.
func plainWork() []Work {
	return []Work{{Kind: "plain", Mean: meanServiceTime, Part: 1, Idempotent: true, Timeout: requestTimeout}}
}

// mixedWork has the same mean service time as plainWork: nine short requests to one long one.
func mixedWork() []Work {
	return []Work{
		{Kind: "short", Mean: 20 * time.Millisecond, Part: 0.9, Idempotent: true, Timeout: requestTimeout},
		{Kind: "long", Mean: 320 * time.Millisecond, Part: 0.1, Idempotent: true, Timeout: 3 * time.Second},
	}
}

// newScenario returns a scenario on the simulated pool with the product's picker, queue and
// retry policy, or with the baselines.
func newScenario(product bool, work []Work, sources ...Source) Scenario {
	sc := Scenario{
		Seed: defaultSeed, Length: runLength, Warmup: warmup, Work: work, Sources: sources,
		Backends: backends(endpointCount, slotsPerEndpoint, zones),
		Picker:   pick.NewRoundRobin(), Queue: admission.NewFIFO(),
		Retry: retry.Fixed{Wait: retry.BackoffBase},
	}
	if product {
		sc.Picker = pick.NewLeastLoaded("0", defaultSeed)
		sc.Queue = admission.NewFair(defaultSeed)
		sc.Retry = retry.NewBudget(defaultSeed)
	}
	return sc
}

// callers divides a rate equally among n callers.
func callers(n int, rate float64) []Source {
	var out []Source
	for i := range n {
		out = append(out, Source{Name: fmt.Sprintf("c%d", i), Rate: steady(rate / float64(n))})
	}
	return out
}

// usefulRatio is the number of useful answers relative to the pool's capacity.
func usefulRatio(r Result) float64 {
	return float64(r.Useful) / (capacity * r.Span.Seconds())
}

// usefulWorkRatio is the fraction of slot time spent on useful answers.
func usefulWorkRatio(r Result) float64 {
	return float64(r.Work) / float64(endpointCount*slotsPerEndpoint*r.Span)
}

func variantName(product bool) string {
	if product {
		return "cyclamenwheel"
	}
	return "baseline"
}

var bothVariants = []bool{true, false}

func millis(micros int64) string { return fmt.Sprintf("%.1f ms", float64(micros)/1000) }

// Saturation offers 1, 2 and 5 times the capacity.
func Saturation(w io.Writer) error {
	t := newTable("Useful answers under saturation (baseline: unbounded FIFO)",
		"work", "offered / capacity", "decisions", "useful / capacity", "useful work / capacity", "late", "refused", "failed", "answer p50", "answer p99", "refusal p99")
	for _, work := range []struct {
		name string
		list []Work
	}{{"plain", plainWork()}, {"mixed", mixedWork()}} {
		for _, factor := range []float64{1, 2, 5} {
			for _, product := range bothVariants {
				r := Run(newScenario(product, work.list, callers(20, factor*capacity)...))
				t.row(work.name, fmt.Sprint(factor), variantName(product), percent(usefulRatio(r)), percent(usefulWorkRatio(r)),
					r.Late, r.Refused, r.Failed, millis(r.Latency.ValueAtQuantile(50)),
					millis(r.Latency.ValueAtQuantile(99)), millis(r.Refusals.ValueAtQuantile(99)))
			}
		}
	}
	return t.write(w)
}

// Greedy has one caller request five times the capacity beside nineteen callers that
// together request half of it, each less than its fair share.
func Greedy(w io.Writer) error {
	t := newTable("One greedy caller beside nineteen modest ones (baseline: unbounded FIFO)",
		"decisions", "modest callers: useful / asked", "worst modest caller", "greedy: useful / capacity", "all: useful / capacity")
	for _, product := range bothVariants {
		r := Run(greedyScenario(product))
		all, worst := modestRatios(r)
		t.row(variantName(product), percent(all), percent(worst),
			percent(float64(r.ByCaller["greedy"])/(capacity*r.Span.Seconds())), percent(usefulRatio(r)))
	}
	return t.write(w)
}

func greedyScenario(product bool) Scenario {
	sources := append(callers(19, capacity/2), Source{Name: "greedy", Rate: steady(5 * capacity)})
	return newScenario(product, plainWork(), sources...)
}

// modestRatios returns the fraction of requests with a useful answer over all callers but
// the greedy one, and the lowest such fraction of a single caller.
func modestRatios(r Result) (all, worst float64) {
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

// Burst sends three times the capacity for half a second every five seconds, and half of
// the capacity in between.
func Burst(w io.Writer) error {
	t := newTable("Bursts of 3 x capacity for 0.5 s every 5 s, 0.5 x between (baseline: unbounded FIFO, round robin)",
		"decisions", "useful / offered", "late", "refused", "failed", "answer p99")
	for _, product := range bothVariants {
		r := Run(newScenario(product, plainWork(), burstSources(20)...))
		t.row(variantName(product), percent(float64(r.Useful)/float64(r.Offered)), r.Late, r.Refused, r.Failed,
			millis(r.Latency.ValueAtQuantile(99)))
	}
	return t.write(w)
}

func burstSources(n int) []Source {
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
	}{{"plain", plainWork()}, {"mixed", mixedWork()}} {
		for _, product := range bothVariants {
			healthy := int64(0)
			for _, slow := range []float64{1, 10} {
				r := Run(slowEndpointScenario(product, work.list, slow))
				rest := otherEndpointsP99(r)
				if slow == 1 {
					healthy = r.Latency.ValueAtQuantile(99)
				}
				t.row(work.name, variantName(product), slow > 1, percent(float64(r.Useful)/float64(r.Offered)),
					millis(r.Latency.ValueAtQuantile(50)), millis(rest), millis(r.Latency.ValueAtQuantile(99)),
					fmt.Sprintf("%.2f", float64(rest)/float64(healthy)))
			}
		}
	}
	return t.write(w)
}

func slowEndpointScenario(product bool, work []Work, factor float64) Scenario {
	sc := newScenario(product, work, callers(20, 0.6*capacity)...)
	sc.Backends[0].SlowdownFactor = factor
	return sc
}

// otherEndpointsP99 is the 99th percentile of the latency on all endpoints but the first,
// which is the slow one.
func otherEndpointsP99(r Result) int64 {
	rest := newHistogram()
	for id, h := range r.LatencyByInstance {
		if id != "w00" {
			rest.Merge(h)
		}
	}
	return rest.ValueAtQuantile(99)
}
