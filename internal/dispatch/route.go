// Package dispatch takes callers' HTTP requests, admits or refuses them, sends
// them to an endpoint and answers.
//
// What it promises: a caller gets the whole answer to its own request or a
// typed refusal; a refusal that says "ran: no" is certain; a non-idempotent
// request is sent to an endpoint at most once.
package dispatch

import (
	"path"
	"slices"
	"strings"
	"time"

	"cyclamenwheel/internal/manifest"
)

// Endpoint is one instance as the traffic path sees it.
type Endpoint struct {
	Instance string `json:"instance"`
	BootID   string `json:"boot_id"`
	// Addr is host:port.
	Addr string `json:"addr"`
	// Slots is the number of requests that this entry may have in flight to
	// the endpoint now.
	Slots int `json:"slots"`
	// Connections bounds the connections that this entry keeps to it.
	Connections int    `json:"connections"`
	Zone        string `json:"zone"`
}

// RouteTable is an immutable snapshot of where requests go. Control code
// publishes a new one for every change; nothing in it is modified after that.
type RouteTable struct {
	// Generation is the manifest generation in force.
	Generation uint64
	services   map[string]*route
	pools      map[string][]Endpoint
	closed     bool
}

// NewClosedTable returns the table of an entry that must send nothing, because
// handovers do not wait for it any more. Requests are refused as not taken by
// this entry, never as of an unknown service: what this entry knows of
// services and keys may be out of date.
func NewClosedTable(generation uint64) *RouteTable {
	return &RouteTable{Generation: generation, closed: true}
}

// route is one service of a table.
type route struct {
	service manifest.Service
	// kinds are the names under which service times of each class are kept;
	// the last one is for requests of no class.
	kinds []string
}

// NewRouteTable builds a table from services and the endpoints of each pool.
func NewRouteTable(generation uint64, services []manifest.Service, pools map[string][]Endpoint) *RouteTable {
	t := &RouteTable{Generation: generation, services: map[string]*route{}, pools: pools}
	for _, s := range services {
		r := &route{service: s}
		for _, c := range s.Classes {
			r.kinds = append(r.kinds, s.Name+"/"+c.Name)
		}
		r.kinds = append(r.kinds, s.Name+"/")
		t.services[s.Name] = r
	}
	return t
}

// Endpoints returns the endpoints of a pool.
func (t *RouteTable) Endpoints(pool string) []Endpoint { return t.pools[pool] }

// Deadlines of requests.
const (
	// defaultDeadline applies to a request that no class covers.
	defaultDeadline = 10 * time.Second
	// maxDeadline bounds what a manifest can ask for: a request in flight
	// holds up moves and graceful shutdown for as long.
	maxDeadline = 5 * time.Minute
)

// treatment is how a request of a class is handled.
type treatment struct {
	kind       string
	idempotent bool
	urgent     bool
	deadline   time.Duration
}

// classify returns the treatment of the first class that matches. rest is the
// decoded path below the service. A request that no class covers is taken as
// non-idempotent, because sending it again could run a charge twice.
func (r *route) classify(method, rest string) treatment {
	// Cleaned, because endpoints clean it too: "/x/../charge" must not escape
	// the class of "/charge".
	rest = path.Clean("/" + rest)
	for i, c := range r.service.Classes {
		if len(c.Methods) > 0 && !slices.Contains(c.Methods, method) {
			continue
		}
		if !strings.HasPrefix(rest, c.PathPrefix) {
			continue
		}
		return treatment{
			kind:       r.kinds[i],
			idempotent: c.Idempotent,
			urgent:     c.Priority == manifest.PriorityUrgent,
			deadline:   boundDeadline(c.DeadlineMillis),
		}
	}
	return treatment{kind: r.kinds[len(r.kinds)-1], deadline: defaultDeadline}
}

func boundDeadline(millis int64) time.Duration {
	if millis <= 0 {
		return defaultDeadline
	}
	if millis > maxDeadline.Milliseconds() {
		return maxDeadline
	}
	return time.Duration(millis) * time.Millisecond
}

// splitPath returns the service and the rest of a path, which keeps its slash.
func splitPath(p string) (service, rest string) {
	p = strings.TrimPrefix(p, "/")
	i := strings.IndexByte(p, '/')
	if i < 0 {
		return p, "/"
	}
	return p[:i], p[i:]
}
