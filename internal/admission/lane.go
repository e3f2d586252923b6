package admission

import (
	"slices"
	"time"
)

// lane shares its turns among callers by start-time fair queueing: each caller
// has a virtual time that grows with the work it was given, and the one that
// is behind goes next. Work is counted in estimated service time, so that long
// requests weigh more than short ones.
type lane struct {
	flows   map[string]*flow
	order   []*flow // callers with waiting requests, in order of arrival
	virtual time.Duration
	len     int
}

// flow is one caller's waiting requests, oldest first.
type flow struct {
	lane    *lane
	caller  string
	waiting []Request
	virtual time.Duration
}

// minCost is the least that a request counts as, while its kind is unknown.
const minCost = time.Millisecond

func newLane() lane { return lane{flows: map[string]*flow{}} }

func (l *lane) queued(caller string) int {
	if f := l.flows[caller]; f != nil {
		return len(f.waiting)
	}
	return 0
}

func (l *lane) push(r Request) *flow {
	f := l.flows[r.Caller]
	if f == nil {
		// A caller that comes back starts level with the others: time that it
		// did not use is not saved up for a burst later.
		f = &flow{lane: l, caller: r.Caller, virtual: l.virtual}
		l.flows[r.Caller] = f
		l.order = append(l.order, f)
	}
	f.waiting = append(f.waiting, r)
	l.len++
	return f
}

// take removes the next request: the oldest of the caller that is furthest
// behind.
func (l *lane) take(cost func(kind string) time.Duration) Request {
	f := l.order[0]
	for _, other := range l.order[1:] {
		if other.virtual < f.virtual {
			f = other
		}
	}
	r := f.waiting[0]
	l.virtual = f.virtual
	f.virtual += max(cost(r.Kind), minCost)
	l.cut(f, 0)
	return r
}

// longest returns the caller with the most waiting requests, and preferred if
// it is one of several.
func (l *lane) longest(preferred *flow) *flow {
	f := l.order[0]
	if preferred.lane == l {
		f = preferred
	}
	for _, other := range l.order {
		if len(other.waiting) > len(f.waiting) {
			f = other
		}
	}
	return f
}

func (l *lane) takeNewest(f *flow) Request {
	i := len(f.waiting) - 1
	r := f.waiting[i]
	l.cut(f, i)
	return r
}

// takeAll removes every request for which match is true.
func (l *lane) takeAll(match func(Request) bool) []Request {
	var out []Request
	for _, f := range slices.Clone(l.order) {
		for i := 0; i < len(f.waiting); {
			r := f.waiting[i]
			if !match(r) {
				i++
				continue
			}
			out = append(out, r)
			l.cut(f, i)
		}
	}
	return out
}

func (l *lane) remove(f *flow, id uint64) {
	for i, r := range f.waiting {
		if r.ID == id {
			l.cut(f, i)
			return
		}
	}
}

// cut removes request i of a caller, and the caller with its last request.
func (l *lane) cut(f *flow, i int) {
	f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
	l.len--
	if len(f.waiting) > 0 {
		return
	}
	delete(l.flows, f.caller)
	for j, other := range l.order {
		if other == f {
			l.order = append(l.order[:j], l.order[j+1:]...)
			return
		}
	}
}
