package admission

import (
	"slices"
	"time"
)

// lane shares its turns among callers by start-time fair queueing: each caller has a
// virtual time that grows with the work served for it, divided by its weight, and the
// caller with the lowest virtual time goes next. Work is counted in estimated service time,
// so that long requests weigh more than short ones.
type lane struct {
	flows       map[string]*flow
	weightOf    func(caller string) float64
	weights     float64 // sum over the callers with waiting requests
	order       []*flow // callers with waiting requests, in order of their first one
	virtualTime time.Duration
	len         int
}

// flow is one caller's waiting requests, oldest first.
type flow struct {
	lane        *lane
	caller      string
	weight      float64
	waiting     []Request
	virtualTime time.Duration
}

// queued returns how many requests of the caller wait, divided by its weight.
func (f *flow) queued() float64 { return float64(len(f.waiting)) / f.weight }

// minCost is the least cost charged for a request, also while the service time of its kind
// is unknown.
const minCost = time.Millisecond

// maxCharge bounds what a request adds to a virtual time, which would overflow with a tiny
// weight.
const maxCharge = 24 * time.Hour

func newLane(weightOf func(caller string) float64) lane {
	return lane{flows: map[string]*flow{}, weightOf: weightOf}
}

// reweigh reads the weight of a caller again.
func (l *lane) reweigh(caller string) {
	if f := l.flows[caller]; f != nil {
		l.weights -= f.weight
		f.weight = l.weightOf(caller)
		l.weights += f.weight
	}
}

// ahead estimates how many waiting requests are served before a further one of the caller:
// all of them, or those of the caller and what the others are served meanwhile. Unlike
// Shares.WorkAhead it counts on the others to send more: in a burst their later requests go
// before the last ones of a caller with many.
func (l *lane) ahead(caller string) int {
	f := l.flows[caller]
	if f == nil {
		return 0
	}
	return int(min(float64(l.len), float64(len(f.waiting))*(l.weights/f.weight+1)))
}

func (l *lane) push(r Request) *flow {
	f := l.flows[r.Caller]
	if f == nil {
		// A returning caller starts at the lane's virtual time: unused time is not saved
		// up for a later burst.
		f = &flow{lane: l, caller: r.Caller, weight: l.weightOf(r.Caller), virtualTime: l.virtualTime}
		l.flows[r.Caller] = f
		l.weights += f.weight
		l.order = append(l.order, f)
	}
	f.waiting = append(f.waiting, r)
	l.len++
	return f
}

// takeNext removes and returns the next request: the oldest one of the caller with the
// lowest virtual time.
func (l *lane) takeNext(cost func(kind string) time.Duration) Request {
	f := l.order[0]
	for _, other := range l.order[1:] {
		if other.virtualTime < f.virtualTime {
			f = other
		}
	}
	r := f.waiting[0]
	l.virtualTime = f.virtualTime
	f.virtualTime += time.Duration(min(float64(max(cost(r.Kind), minCost))/f.weight, float64(maxCharge)))
	l.removeAt(f, 0)
	return r
}

// longest returns the caller with the most waiting requests for its weight; a tie goes to
// preferred.
func (l *lane) longest(preferred *flow) *flow {
	f := l.order[0]
	if preferred.lane == l {
		f = preferred
	}
	for _, other := range l.order {
		if other.queued() > f.queued() {
			f = other
		}
	}
	return f
}

func (l *lane) takeNewest(f *flow) Request {
	i := len(f.waiting) - 1
	r := f.waiting[i]
	l.removeAt(f, i)
	return r
}

// takeMatching removes and returns every request for which match returns true.
func (l *lane) takeMatching(match func(Request) bool) []Request {
	var out []Request
	for _, f := range slices.Clone(l.order) {
		for i := 0; i < len(f.waiting); {
			r := f.waiting[i]
			if !match(r) {
				i++
				continue
			}
			out = append(out, r)
			l.removeAt(f, i)
		}
	}
	return out
}

func (l *lane) remove(f *flow, id uint64) {
	for i, r := range f.waiting {
		if r.ID == id {
			l.removeAt(f, i)
			return
		}
	}
}

// removeAt removes a caller's request i, and the caller itself with its last request.
func (l *lane) removeAt(f *flow, i int) {
	f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
	l.len--
	if len(f.waiting) > 0 {
		return
	}
	delete(l.flows, f.caller)
	l.weights -= f.weight
	if len(l.flows) == 0 {
		l.weights = 0 // without rounding errors
	}
	for j, other := range l.order {
		if other == f {
			l.order = append(l.order[:j], l.order[j+1:]...)
			return
		}
	}
}
