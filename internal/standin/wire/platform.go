// Package wire simulates the outside platform on loopback: its log store, its instance list, and
// endpoints with leases and fencing tokens, all over the published HTTP protocol. It takes
// instance counts, configurations and faults from its caller and records each violation that the
// endpoints observe, such as two concurrent runs of one task. Tests and package trial, with
// which cyclamen-trial runs the demo and the soak, start it.
package wire

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"cyclamenwheel/internal/standin/disruption"
)

// changeDuration is the time that a move or maintenance takes; capacities are in thousandths of
// a core and MB.
const (
	endpointCPU    = 16000
	endpointMemory = 65536
	taskCPU        = 1000
	changeDuration = 300 * time.Millisecond
	// SparePool is the pool of instances without an endpoint.
	SparePool = "spare"
)

// Faults are the faults that the platform injects.
type Faults struct {
	// LostAnswers is the share of appends, and LostOrders the share of orders to endpoints, that
	// are carried out but not answered.
	LostAnswers, LostOrders float64
	// StoreDelay is how long the store delays each answer.
	StoreDelay time.Duration
}

type instance struct {
	pool, state, endpoint string
	// previousEndpoint is the id of the last endpoint that a move or maintenance ended.
	previousEndpoint string
	maintained       map[int]bool
}

type taskHistory struct {
	running int
	done    bool
	// crashes counts the endpoints that crashed under the task, startsAfterThreshold its starts
	// after crashThreshold crashes.
	crashes, startsAfterThreshold int
}

// Platform simulates the outside platform.
type Platform struct {
	mu           sync.Mutex
	rng          *rand.Rand
	faults       Faults
	topics       map[string]*topic
	members      map[string]groupMember
	generation   int64
	endpoints    map[string]*Endpoint
	incarnations int
	instances    map[string]*instance
	histories    map[string]*taskHistory
	// startedAt is the start of the platform, and budgets checks disruption budgets.
	startedAt  time.Time
	budgets    disruption.Check
	violations []string
	storeDown  bool
	closed     bool
	// accounts are those of the configuration, pastLimits their replaced limits, and jobAccounts
	// the account of each job.
	accounts    []Account
	pastLimits  map[string][]pastLimit
	jobAccounts map[string]string
	// slack is the slack of the queues that Publish writes.
	slack time.Duration
	// keepIDs: endpoints keep their ids through moves and maintenance.
	keepIDs bool

	listener net.Listener
	server   *http.Server
}

// New starts a platform with the given number of instances in each pool.
func New(pools map[string]int, seed uint64) (*Platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{rng: rand.New(rand.NewPCG(seed, 1)), topics: map[string]*topic{}, members: map[string]groupMember{},
		endpoints: map[string]*Endpoint{}, instances: map[string]*instance{}, histories: map[string]*taskHistory{}, startedAt: time.Now(), listener: listener,
		slack: defaultSlack, pastLimits: map[string][]pastLimit{}, jobAccounts: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cyclamenwheel/log-append", p.handleAppend)
	mux.HandleFunc("GET /cyclamenwheel/log-read", p.handleRead)
	mux.HandleFunc("GET /cyclamenwheel/log-newest", p.handleNewest)
	mux.HandleFunc("POST /cyclamenwheel/log-join", p.handleJoin)
	mux.HandleFunc("POST /cyclamenwheel/log-leave", p.handleLeave)
	mux.HandleFunc("GET /cyclamenwheel/log-owners", p.handleOwners)
	mux.HandleFunc("GET /cyclamenwheel/machines", p.handleMachines)
	mux.HandleFunc("POST /cyclamenwheel/machine-move", p.handleChange(false))
	mux.HandleFunc("POST /cyclamenwheel/machine-upkeep", p.handleChange(true))
	p.server = &http.Server{Handler: p.withStoreDelay(mux)}
	go func() { _ = p.server.Serve(listener) }() // ends with Close
	p.mu.Lock()
	defer p.mu.Unlock()
	for pool, count := range pools {
		for n := range count {
			name := fmt.Sprintf("m-%s-%02d", pool, n)
			p.instances[name] = &instance{pool: pool, state: "up", maintained: map[int]bool{}}
			if pool == SparePool {
				continue
			}
			if err := p.startEndpointLocked(name, pool); err != nil {
				return nil, err
			}
		}
	}
	return p, nil
}

// withStoreDelay delays the answers of the store. The request itself is carried out at once.
func (p *Platform) withStoreDelay(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/cyclamenwheel/log-") {
			p.mu.Lock()
			delay := p.faults.StoreDelay
			p.mu.Unlock()
			defer time.Sleep(delay)
		}
		next.ServeHTTP(w, r)
	})
}

// Addr is the address of the store and the instance list.
func (p *Platform) Addr() string { return p.listener.Addr().String() }

// Close stops the platform and its endpoints.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, e := range p.endpoints {
		go e.server.Close()
	}
	go p.server.Close()
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetStoreDown makes the store refuse every call, or serve again. Endpoints write no heartbeats
// while it is down.
func (p *Platform) SetStoreDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeDown = down
}

// KeepIDs makes endpoints keep their ids through moves and maintenance.
func (p *Platform) KeepIDs() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepIDs = true
}

// Endpoints returns the ids of a pool's endpoints.
func (p *Platform) Endpoints(pool string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, e := range p.endpoints {
		if e.pool == pool && !e.removed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// KillEndpoint removes one endpoint of a pool without notice and starts another on its instance.
func (p *Platform) KillEndpoint(pool string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		if e.pool == pool {
			e.endLocked()
			return p.startEndpointLocked(e.instance, pool)
		}
	}
	return nil
}

// RestartEndpoint crashes one endpoint of a pool and restarts it under the same id.
func (p *Platform) RestartEndpoint(pool string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		if e.pool == pool {
			return e.restartLocked()
		}
	}
	return nil
}

// defaultSlack and stretch make objectives so long that a pool refuses no job of a usual test.
const (
	defaultSlack = time.Minute
	stretch      = 10.0
)

// SetSlack sets the slack of the queues that the next Publish writes, so that their pools refuse
// jobs that would be late.
func (p *Platform) SetSlack(slack time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slack = slack
}

// Publish stores a configuration with one queue per pool, at path prefix /POOL/ of host.
func (p *Platform) Publish(version int, host string, pools ...string) error {
	type object = map[string]any
	routes, services := []object{}, []object{{"name": SparePool, "spare": true}}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range pools {
		routes = append(routes, object{"name": "q-" + pool, "host": host, "prefix": "/" + pool + "/", "service": pool,
			"timeoutMs": 5000, "sloMs": p.slack.Milliseconds(), "attempts": 3, "stretch": stretch})
		services = append(services, object{"name": pool, "maxConns": 64})
	}
	config := object{"version": version, "routes": routes, "services": services,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 262144}}
	if tenants := p.tenantConfig(); tenants != nil {
		config["tenants"] = tenants
	}
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	p.appendKeyed("keyed.op", "config", value)
	return nil
}

// PublishWave publishes a maintenance wave over the given instances.
func (p *Platform) PublishWave(number, atOnce int, within time.Duration, instances ...string) error {
	value, err := json.Marshal(map[string]any{"wave": number, "machines": instances, "withinS": within.Seconds(), "maxCount": atOnce})
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.appendKeyed("keyed.op", fmt.Sprintf("wave/%d", number), value)
	return nil
}

// Instances returns the names of a pool's instances.
func (p *Platform) Instances(pool string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for name, i := range p.instances {
		if i.pool == pool {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Maintained returns how many instances a wave has maintained.
func (p *Platform) Maintained(wave int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, i := range p.instances {
		if i.maintained[wave] {
			n++
		}
	}
	return n
}

// Violations returns the violations recorded so far.
func (p *Platform) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.violations)
}

// Started returns how many tasks have been started at least once.
func (p *Platform) Started() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.histories)
}

func (p *Platform) history(task string) *taskHistory {
	if p.histories[task] == nil {
		p.histories[task] = &taskHistory{}
	}
	return p.histories[task]
}

// recordStart records a start and the violations that it causes. Finished runs are ended first
// on all endpoints, because nodes may not have polled some of them since.
func (p *Platform) recordStart(task string, e *Endpoint) {
	for _, other := range p.endpoints {
		other.endFinishedRuns()
	}
	h := p.history(task)
	if h.running > 0 {
		p.violations = append(p.violations, task+" runs twice at once")
	}
	if h.done {
		p.violations = append(p.violations, task+" starts after its end was acknowledged")
	}
	h.running++
	p.checkAccountLimit(task)
	if len(e.running)*taskCPU > e.allowedCPU() {
		p.violations = append(p.violations, e.id+" is over its room")
	}
}

func (p *Platform) handleMachines(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []map[string]any{}
	for name, i := range p.instances {
		rows = append(rows, map[string]any{"machine": name, "pool": i.pool, "state": i.state, "zone": "z", "labels": []string{"a", "r-" + name},
			"capacity": map[string]int{"cpu": endpointCPU, "memMb": endpointMemory, "gpu": 0}, "id": i.endpoint})
	}
	reply(w, http.StatusOK, map[string]any{"machines": rows, "nextToken": nil})
}

// handleChange moves an instance or starts its maintenance.
func (p *Platform) handleChange(maintain bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			Machine, Pool string
			Wave          int
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		i := p.instances[in.Machine]
		switch {
		case i == nil:
			w.WriteHeader(http.StatusBadRequest)
		case maintain && i.maintained[in.Wave] || !maintain && i.pool == in.Pool:
			reply(w, http.StatusOK, struct{}{})
		case i.state != "up":
			reply(w, http.StatusConflict, map[string]string{"reason": "busy"})
		default:
			p.changeLocked(i, in.Machine, in.Pool, in.Wave, maintain)
			reply(w, http.StatusOK, struct{}{})
		}
	}
}

func (p *Platform) changeLocked(i *instance, name, pool string, wave int, maintain bool) {
	if e := p.endpoints[i.endpoint]; e != nil {
		if len(e.running) > 0 {
			p.violations = append(p.violations, fmt.Sprintf("%s was taken while tasks ran on %s: %v", name, e.id, slices.Sorted(maps.Keys(e.running))))
		}
		e.endLocked()
	}
	i.previousEndpoint, i.endpoint = i.endpoint, ""
	if maintain {
		i.state, i.maintained[wave] = "upkeep", true
	} else {
		i.state, i.pool = "moving", pool
	}
	time.AfterFunc(changeDuration, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		i.state = "up"
		if i.pool == SparePool {
			return
		}
		if err := p.startEndpointLocked(name, i.pool); err != nil {
			p.violations = append(p.violations, name+": "+err.Error())
		}
	})
}
