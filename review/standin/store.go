package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Figures of a small deployment's store.
const (
	partitions    = 24
	recordBytes   = 262144
	callBytes     = 2097152
	readBytes     = 1024 << 10
	newestItems   = 500
	newestBytes   = 1 << 20
	recentAppends = 5
	storeAnswer   = 4 * time.Millisecond
	pollStep      = 5 * time.Millisecond
)

// Platform is the store, the instance list and the workers.
type Platform struct {
	Rec *Record

	mu         sync.Mutex
	topics     map[string]*topic
	groups     map[string]*group
	machines   map[string]*Machine
	gangs      map[string]*gang
	tasks      map[string]*taskHistory
	violations []string
	nextID     int
	closed     bool
	servers    []*http.Server
	before     func(node, call string, query func(string) string) bool
	appended   func(node, topic string, conditional bool)
	refused    map[string]int
}

type topic struct {
	records [][]byte
	writers map[string]*writer
}

type writer struct {
	epoch, next int64
	recent      map[int64]appendAnswer
}

type appendAnswer struct {
	Offset int64  `json:"offset"`
	End    int64  `json:"end"`
	Reason string `json:"reason,omitempty"`
}

type group struct {
	generation int64
	members    map[string]member
}

type member struct {
	seen time.Time
	ttl  time.Duration
}

// NewPlatform returns a platform without machines.
func NewPlatform(rec *Record) *Platform {
	return &Platform{Rec: rec, topics: map[string]*topic{}, groups: map[string]*group{}, machines: map[string]*Machine{},
		gangs: map[string]*gang{}, tasks: map[string]*taskHistory{}, refused: map[string]int{}}
}

// Listen returns an address of the store and the instance list for one node.
func (p *Platform) Listen(node string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	store := func(pattern, name string, h func(node string, w http.ResponseWriter, r *http.Request)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			p.mu.Lock()
			before := p.before
			p.mu.Unlock()
			if before != nil && before(node, name, r.URL.Query().Get) {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			h(node, w, r)
		})
	}
	store("POST /cyclamenwheel/log-append", "append", p.handleAppend)
	store("GET /cyclamenwheel/log-read", "read", p.handleRead)
	store("GET /cyclamenwheel/log-newest", "newest", p.handleNewest)
	store("POST /cyclamenwheel/log-join", "join", p.handleJoin)
	store("POST /cyclamenwheel/log-leave", "leave", p.handleLeave)
	store("GET /cyclamenwheel/log-owners", "owners", p.handleOwners)
	mux.HandleFunc("GET /cyclamenwheel/machines", p.handleMachines)
	mux.HandleFunc("POST /cyclamenwheel/machine-move", p.handleMove)
	mux.HandleFunc("POST /cyclamenwheel/machine-upkeep", p.handleUpkeep)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	p.mu.Lock()
	p.servers = append(p.servers, server)
	p.mu.Unlock()
	return listener.Addr().String(), nil
}

// Observe sets two functions: before is called for each call of the store by a node, and if it returns
// true, the call is answered with 503 and nothing is done; appended is called after records were
// appended, before the answer.
func (p *Platform) Observe(before func(node, call string, query func(string) string) bool, appended func(node, topic string, conditional bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.before, p.appended = before, appended
}

// Close ends all servers.
func (p *Platform) Close() {
	p.mu.Lock()
	p.closed = true
	servers := p.servers
	p.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
}

// Refused returns how many appends the store has rejected as too large, by topic.
func (p *Platform) Refused() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for k, v := range p.refused {
		out[k] = v
	}
	return out
}

// Put appends a record with a key to a topic, as the operator and the workers do.
func (p *Platform) Put(topicName, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.putLocked(topicName, key, data)
}

func (p *Platform) putLocked(topicName, key string, data []byte) {
	t := p.topicLocked(topicName)
	t.records = append(t.records, append(append([]byte{byte(len(key))}, key...), data...))
}

func (p *Platform) topicLocked(name string) *topic {
	t := p.topics[name]
	if t == nil {
		t = &topic{writers: map[string]*writer{}}
		p.topics[name] = t
	}
	return t
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func splitRecords(raw []byte) (out [][]byte, ok bool) {
	for len(raw) > 0 {
		if len(raw) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(raw))
		raw = raw[4:]
		if size > len(raw) {
			return nil, false
		}
		out = append(out, slices.Clone(raw[:size]))
		raw = raw[size:]
	}
	return out, true
}

func (p *Platform) handleAppend(node string, w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	records, ok := splitRecords(raw)
	q := r.URL.Query()
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	total, largest := 0, 0
	for _, rec := range records {
		total += len(rec)
		largest = max(largest, len(rec))
	}
	time.Sleep(storeAnswer / 2)
	if largest > recordBytes || total > callBytes {
		p.mu.Lock()
		p.refused[q.Get("topic")]++
		n := p.refused[q.Get("topic")]
		p.mu.Unlock()
		if n <= 3 || n%100 == 0 {
			p.Rec.Printf("store: append %d to %s by %s refused with 413: largest record %d bytes (recordBytes %d), call %d bytes (callBytes %d)",
				n, q.Get("topic"), node, largest, recordBytes, total, callBytes)
		}
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	status, answer := p.appendLocked(p.topicLocked(q.Get("topic")), q.Get, records)
	appended := p.appended
	p.mu.Unlock()
	if status == http.StatusOK && appended != nil {
		appended(node, q.Get("topic"), q.Get("at") != "")
	}
	time.Sleep(storeAnswer / 2)
	reply(w, status, answer)
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

func (p *Platform) appendLocked(t *topic, get func(string) string, records [][]byte) (int, appendAnswer) {
	producer, epoch, seq := get("producer"), number(get("epoch")), number(get("seq"))
	end := int64(len(t.records))
	var state *writer
	if producer != "" {
		state = t.writers[producer]
		if state != nil && epoch < state.epoch {
			return http.StatusConflict, appendAnswer{Reason: "fenced"}
		}
		if state == nil || epoch > state.epoch {
			state = &writer{epoch: epoch, next: seq, recent: map[int64]appendAnswer{}}
			t.writers[producer] = state
		}
		if len(records) > 0 {
			if earlier, repeated := state.recent[seq]; repeated {
				return http.StatusOK, earlier
			}
			if seq != state.next {
				return http.StatusConflict, appendAnswer{Reason: "seq"}
			}
		}
	}
	if get("at") != "" && number(get("at")) != end {
		return http.StatusPreconditionFailed, appendAnswer{End: end}
	}
	t.records = append(t.records, records...)
	answer := appendAnswer{Offset: end, End: int64(len(t.records))}
	if state != nil && len(records) > 0 {
		state.recent[seq] = answer
		delete(state.recent, seq-recentAppends)
		state.next = seq + 1
	}
	return http.StatusOK, answer
}

func (p *Platform) handleRead(_ string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := number(q.Get("from"))
	limit := readBytes
	if kb := number(q.Get("maxKb")); kb > 0 {
		limit = int(kb) << 10
	}
	deadline := time.Now().Add(time.Duration(number(q.Get("waitMs"))) * time.Millisecond)
	for {
		p.mu.Lock()
		t, closed := p.topicLocked(q.Get("topic")), p.closed
		end := int64(len(t.records))
		var out []byte
		for n := max(0, from); n < end && (len(out) == 0 || len(out)+4+len(t.records[n]) <= limit); n++ {
			out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[n])))
			out = append(out, t.records[n]...)
		}
		p.mu.Unlock()
		if len(out) > 0 || closed || !time.Now().Before(deadline) || r.Context().Err() != nil {
			time.Sleep(storeAnswer)
			head := binary.BigEndian.AppendUint64(nil, uint64(end))
			head = binary.BigEndian.AppendUint64(head, 0)
			_, _ = w.Write(append(head, out...))
			return
		}
		time.Sleep(pollStep)
	}
}

func (p *Platform) handleNewest(_ string, w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	after := r.URL.Query().Get("after")
	time.Sleep(storeAnswer)
	p.mu.Lock()
	t := p.topicLocked(r.URL.Query().Get("topic"))
	newest := map[string]int{}
	for n, rec := range t.records {
		if len(rec) == 0 || len(rec) < 1+int(rec[0]) {
			continue
		}
		key := string(rec[1 : 1+rec[0]])
		if len(rec) == 1+int(rec[0]) {
			delete(newest, key)
			continue
		}
		newest[key] = n
	}
	var keys []string
	for key := range newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		value := t.records[newest[key]][1+len(key):]
		if len(items) == newestItems || len(items) > 0 && size+len(value) > newestBytes {
			more = true
			break
		}
		size += len(value)
		items = append(items, item{key, base64.StdEncoding.EncodeToString(value), int64(newest[key])})
	}
	end := len(t.records)
	p.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": end})
}

type groupCall struct {
	Group  string   `json:"group"`
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTLMs  int64    `json:"ttlMs"`
}

func (p *Platform) groupLocked(name string) *group {
	g := p.groups[name]
	if g == nil {
		g = &group{members: map[string]member{}}
		p.groups[name] = g
	}
	for name, m := range g.members {
		if time.Since(m.seen) > m.ttl {
			delete(g.members, name)
			g.generation++
		}
	}
	return g
}

func (g *group) assigned() []string {
	var names []string
	for name := range g.members {
		names = append(names, name)
	}
	slices.Sort(names)
	out := make([]string, partitions)
	for n := range out {
		if len(names) > 0 {
			out[n] = names[n%len(names)]
		}
	}
	return out
}

func (p *Platform) handleJoin(_ string, w http.ResponseWriter, r *http.Request) {
	var in groupCall
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.Member == "" || len(in.Topics) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeAnswer)
	p.mu.Lock()
	g := p.groupLocked(in.Group)
	if _, known := g.members[in.Member]; !known {
		g.generation++
	}
	g.members[in.Member] = member{time.Now(), time.Duration(in.TTLMs) * time.Millisecond}
	rows := [][]any{}
	for part, name := range g.assigned() {
		if name == in.Member {
			rows = append(rows, []any{in.Topics[0], part, 0})
		}
	}
	generation := g.generation
	p.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"generation": generation, "ttlMs": in.TTLMs, "parts": rows})
}

func (p *Platform) handleLeave(_ string, w http.ResponseWriter, r *http.Request) {
	var in groupCall
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	g := p.groupLocked(in.Group)
	if _, known := g.members[in.Member]; known {
		delete(g.members, in.Member)
		g.generation++
	}
	p.mu.Unlock()
	reply(w, http.StatusOK, struct{}{})
}

func (p *Platform) handleOwners(_ string, w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	p.mu.Lock()
	rows := [][]any{}
	for part, name := range p.groupLocked(r.URL.Query().Get("group")).assigned() {
		if name != "" {
			rows = append(rows, []any{"owners", part, name, 0})
		}
	}
	p.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"parts": rows})
}

// Publish writes a configuration with one queue for each pool, at the path prefix /POOL/ of host.
func (p *Platform) Publish(version int, host string, pools ...string) {
	type object = map[string]any
	routes := []object{}
	services := []object{{"name": "spare", "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "spare": true}}
	for _, pool := range pools {
		routes = append(routes, object{"name": "r-" + pool, "host": host, "prefix": "/" + pool + "/", "kind": "unsafe", "timeoutMs": 3000,
			"sloMs": 2500, "priority": 0, "service": pool, "attempts": 4, "stretch": 2.2})
		services = append(services, object{"name": pool, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "spare": false})
	}
	p.Put("keyed.op", "config", object{"version": version, "routes": routes, "services": services,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	p.Rec.Printf("operator: configuration %d, pools %v", version, pools)
}

// violate records a broken rule.
func (p *Platform) violateLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	p.violations = append(p.violations, text)
	p.Rec.Printf("BROKEN %s", text)
}

// Violations returns the broken rules that workers saw.
func (p *Platform) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.violations)
}
