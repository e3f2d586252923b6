// Package wire is a stand-in of the users' platform that speaks its published
// protocol on loopback: the store, endpoints with leases and fences, and the
// instance list. Tests, the demo and the soak share it. It notes what an
// observer of the endpoints would call wrong.
package wire

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Sizes and times of the stand-in.
const (
	endpointCPU    = 16000
	endpointMemory = 65536
	taskCPU        = 1000
	moveTime       = 300 * time.Millisecond
	// SparePool is where instances are switched off.
	SparePool = "spare"
)

// Faults are shares of calls that go wrong.
type Faults struct {
	// LostAnswers of appends, LostOrders of orders: carried out, not answered.
	LostAnswers, LostOrders float64
	// StoreDelay is how long the store holds each answer back.
	StoreDelay time.Duration
}

type instance struct {
	pool, state, endpoint string
	// former is the endpoint of the last incarnation that an operation ended.
	former     string
	maintained map[int]bool
}

type history struct {
	running int
	done    bool
	// crashes counts the endpoints that crashed under the task, afterThird its starts since
	// the third.
	crashes, afterThird int
}

// Platform is the stand-in.
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
	runs         map[string]*history
	broken       []string
	storeDown    bool
	closed       bool
	// accounts are those of the configuration, limits what they might have running before,
	// and owners whose jobs are whose.
	accounts []Account
	limits   map[string][]limit
	owners   map[string]string
	// keepIDs: endpoints come back from operations under their ids.
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
		endpoints: map[string]*Endpoint{}, instances: map[string]*instance{}, runs: map[string]*history{}, listener: listener,
		limits: map[string][]limit{}, owners: map[string]string{}}
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
	p.server = &http.Server{Handler: p.delayed(mux)}
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

// delayed holds the store's answers back while it is slow. What was asked for is done
// meanwhile.
func (p *Platform) delayed(next http.Handler) http.Handler {
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

// Addr is where the store and the instance list answer.
func (p *Platform) Addr() string { return p.listener.Addr().String() }

// Close ends the platform and its endpoints.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, e := range p.endpoints {
		go e.server.Close()
	}
	go p.server.Close()
}

// SetFaults changes what goes wrong from now on.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetStoreDown turns every call of the store away, or serves again.
func (p *Platform) SetStoreDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeDown = down
}

// KeepIDs lets endpoints come back from moves and maintenance under the ids that they had.
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
		if e.pool == pool && !e.gone {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// KillEndpoint ends one endpoint of a pool without notice; a new incarnation
// takes its place.
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

// RestartEndpoint lets one endpoint of a pool crash and start again under its id.
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

// Publish stores a configuration: one queue a pool, at prefix /POOL/ of host.
func (p *Platform) Publish(version int, host string, pools ...string) error {
	type object = map[string]any
	routes, services := []object{}, []object{{"name": SparePool, "spare": true}}
	for _, pool := range pools {
		routes = append(routes, object{"name": "q-" + pool, "host": host, "prefix": "/" + pool + "/", "service": pool,
			"timeoutMs": 5000, "sloMs": 60000, "attempts": 3, "stretch": 10.0})
		services = append(services, object{"name": pool, "maxConns": 64})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	config := object{"version": version, "routes": routes, "services": services,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 262144}}
	if tenants := p.tenants(); tenants != nil {
		config["tenants"] = tenants
	}
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	p.putKeyed("keyed.op", "config", value)
	return nil
}

// AskWave publishes a maintenance wave over some instances of each pool.
func (p *Platform) AskWave(number, atOnce int, within time.Duration, instances ...string) error {
	value, err := json.Marshal(map[string]any{"wave": number, "machines": instances, "withinS": within.Seconds(), "maxCount": atOnce})
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.putKeyed("keyed.op", fmt.Sprintf("wave/%d", number), value)
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

// Maintained returns how many instances have been through a wave.
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

// Broken lists what went wrong so far.
func (p *Platform) Broken() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.broken)
}

// Started returns how many tasks have ever begun.
func (p *Platform) Started() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.runs)
}

func (p *Platform) history(task string) *history {
	if p.runs[task] == nil {
		p.runs[task] = &history{}
	}
	return p.runs[task]
}

// began notes a start, and what is wrong with it. Runs end at their own time, also on
// endpoints that nobody has called since.
func (p *Platform) began(task string, e *Endpoint) {
	for _, other := range p.endpoints {
		other.settle()
	}
	h := p.history(task)
	if h.running > 0 {
		p.broken = append(p.broken, task+" runs twice at once")
	}
	if h.done {
		p.broken = append(p.broken, task+" starts after its end was acknowledged")
	}
	h.running++
	p.checkAccount(task)
	if len(e.running)*taskCPU > e.roomThatCounts() {
		p.broken = append(p.broken, e.id+" is over its room")
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

// handleChange moves an instance or begins its maintenance.
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
			p.broken = append(p.broken, name+" was taken while tasks ran on it")
		}
		e.endLocked()
	}
	i.former, i.endpoint = i.endpoint, ""
	if maintain {
		i.state, i.maintained[wave] = "upkeep", true
	} else {
		i.state, i.pool = "moving", pool
	}
	time.AfterFunc(moveTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		i.state = "up"
		if i.pool == SparePool {
			return
		}
		if err := p.startEndpointLocked(name, i.pool); err != nil {
			p.broken = append(p.broken, name+": "+err.Error())
		}
	})
}
