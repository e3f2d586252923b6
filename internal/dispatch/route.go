// Package dispatch serves callers' HTTP requests: it admits or refuses each
// request, forwards it to an endpoint of its service's pool, and returns the
// complete response or a typed refusal. Its inputs are the request, the route
// table and the claims of idempotency keys; a refusal with "ran: no" is
// certain, and a non-idempotent request is sent to an endpoint at most once,
// unless it is proven that it did not run. The entry process (internal/entry
// and internal/daemon) creates the Handler, publishes route tables to it and
// drains it at shutdown.
package dispatch

import (
	"path"
	"slices"
	"strings"
	"time"

	"cyclamenwheel/internal/manifest"
)

// Endpoint is an instance as request handling sees it.
type Endpoint struct {
	Instance string `json:"instance"`
	BootID   string `json:"boot_id"`
	// Addr is host:port.
	Addr string `json:"addr"`
	// Slots is the number of requests that this entry may currently have in
	// flight to the endpoint.
	Slots int `json:"slots"`
	// Connections bounds the idle connections that this entry keeps to it.
	Connections int    `json:"connections"`
	Zone        string `json:"zone"`
}

// RouteTable is an immutable snapshot of where requests are sent. Control code
// publishes a new table for every change.
type RouteTable struct {
	// Generation is the current manifest generation.
	Generation uint64
	services   map[string]*route
	pools      map[string][]Endpoint
	closed     bool
}

// NewClosedTable returns the table of an entry that must not send requests
// because handovers no longer wait for it. Requests are refused as not accepted
// by this entry and never as addressed to an unknown service, because the
// entry's information about services and keys may be out of date.
func NewClosedTable(generation uint64) *RouteTable {
	return &RouteTable{Generation: generation, closed: true}
}

// route is a service in a route table.
type route struct {
	service manifest.Service
	// kinds are the keys of the service time estimates, one per class; the last
	// one is for requests without a class.
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

// Request deadlines.
const (
	// defaultDeadline applies to a request that matches no class.
	defaultDeadline = 10 * time.Second
	// maxDeadline bounds the deadline in a manifest: a request in flight delays
	// moves and graceful shutdown for as long.
	maxDeadline = 5 * time.Minute
)

// classPolicy is how requests of a class are handled.
type classPolicy struct {
	kind       string
	idempotent bool
	urgent     bool
	deadline   time.Duration
}

// classify returns the policy of the first matching class. rest is the decoded
// path below the service. A request that matches no class is treated as
// non-idempotent, because sending it again could run a charge twice.
func (r *route) classify(method, rest string) classPolicy {
	// Endpoints clean the path too, so "/x/../charge" must match the class of
	// "/charge".
	rest = path.Clean("/" + rest)
	for i, c := range r.service.Classes {
		if len(c.Methods) > 0 && !slices.Contains(c.Methods, method) {
			continue
		}
		if !strings.HasPrefix(rest, c.PathPrefix) {
			continue
		}
		return classPolicy{
			kind:       r.kinds[i],
			idempotent: c.Idempotent,
			urgent:     c.Priority == manifest.PriorityUrgent,
			deadline:   boundDeadline(c.DeadlineMillis),
		}
	}
	return classPolicy{kind: r.kinds[len(r.kinds)-1], deadline: defaultDeadline}
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

// splitPath returns the service and the remaining path, with its leading slash.
func splitPath(p string) (service, rest string) {
	p = strings.TrimPrefix(p, "/")
	i := strings.IndexByte(p, '/')
	if i < 0 {
		return p, "/"
	}
	return p[:i], p[i:]
}
