// Package rig2 is a small stand-in of the users' platform for the cases of the second review:
// the store, the list of machines and workers on loopback, and the nodes as processes. It does
// what PROTOCOL.md says and no more; each case adds its own disruption.
package rig2

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

// Limits of one record and of one append, as the settings of the small sites state them.
const (
	RecordBytes = 262144
	CallBytes   = 2097152
	partitions  = 24
	pageItems   = 500
	pageBytes   = 1 << 20
	readBytes   = 1 << 20
	storeDelay  = 4 * time.Millisecond
)

type entry struct {
	key   string
	value []byte
}

type appendResult struct {
	Offset int64  `json:"offset"`
	End    int64  `json:"end"`
	Reason string `json:"reason,omitempty"`
}

type producer struct {
	epoch, next int64
	recent      map[int64]appendResult
}

type topic struct {
	log       []entry
	producers map[string]*producer
}

type member struct {
	seen time.Time
	ttl  time.Duration
}

// Platform is the store, the list of machines and the workers.
type Platform struct {
	Record *Record

	mu         sync.Mutex
	topics     map[string]*topic
	members    map[string]member
	generation int64
	workers    []*Worker
	machines   []*machine
	jobs       map[string]Job
	server     *http.Server
	addr       string
}

// NewPlatform starts a platform on a loopback address.
func NewPlatform(ip string, record *Record) (*Platform, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &Platform{Record: record, topics: map[string]*topic{}, members: map[string]member{}, jobs: map[string]Job{}, addr: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cyclamenwheel/log-append", p.append)
	mux.HandleFunc("GET /cyclamenwheel/log-read", p.read)
	mux.HandleFunc("GET /cyclamenwheel/log-newest", p.newest)
	mux.HandleFunc("POST /cyclamenwheel/log-join", p.join)
	mux.HandleFunc("POST /cyclamenwheel/log-leave", p.leave)
	mux.HandleFunc("GET /cyclamenwheel/log-owners", p.owners)
	mux.HandleFunc("GET /cyclamenwheel/machines", p.listMachines)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// Close ends the platform and its workers.
func (p *Platform) Close() {
	for _, w := range p.workers {
		_ = w.server.Close()
	}
	_ = p.server.Close()
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (p *Platform) topic(name string) *topic {
	t := p.topics[name]
	if t == nil {
		t = &topic{producers: map[string]*producer{}}
		p.topics[name] = t
	}
	return t
}

// Put writes a record of the operator or of a worker.
func (p *Platform) Put(topicName, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.topic(topicName)
	t.log = append(t.log, entry{key, data})
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	records, largest, ok := split(raw)
	q := r.URL.Query()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !ok:
		w.WriteHeader(http.StatusBadRequest)
	case largest > RecordBytes || len(raw) > CallBytes:
		p.Record.Line("store: an append to %s is refused: %d bytes in all, its largest record has %d", q.Get("topic"), len(raw), largest)
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	default:
		status, out := p.topic(q.Get("topic")).append(q.Get, records)
		answer(w, status, out)
	}
}

func (t *topic) append(get func(string) string, records []entry) (int, appendResult) {
	number := func(name string) int64 {
		n, _ := strconv.ParseInt(get(name), 10, 64)
		return n
	}
	epoch, seq := number("epoch"), number("seq")
	var from *producer
	if name := get("producer"); name != "" {
		from = t.producers[name]
		if from == nil || epoch > from.epoch {
			from = &producer{epoch: epoch, next: seq, recent: map[int64]appendResult{}}
			t.producers[name] = from
		}
		earlier, repeated := from.recent[seq]
		switch {
		case epoch < from.epoch:
			return http.StatusConflict, appendResult{Reason: "fenced"}
		case len(records) > 0 && repeated:
			return http.StatusOK, earlier
		case len(records) > 0 && seq != from.next:
			return http.StatusConflict, appendResult{Reason: "seq"}
		}
	}
	end := int64(len(t.log))
	if get("at") != "" && number("at") != end {
		return http.StatusPreconditionFailed, appendResult{End: end}
	}
	t.log = append(t.log, records...)
	out := appendResult{Offset: end, End: int64(len(t.log))}
	if from != nil && len(records) > 0 {
		from.recent[seq] = out
		delete(from.recent, seq-5)
		from.next = seq + 1
	}
	return http.StatusOK, out
}

func split(raw []byte) (records []entry, largest int, ok bool) {
	for len(raw) > 0 {
		if len(raw) < 5 {
			return nil, 0, false
		}
		size := int(binary.BigEndian.Uint32(raw))
		raw = raw[4:]
		if size < 1 || size > len(raw) || size < 1+int(raw[0]) {
			return nil, 0, false
		}
		keyEnd := 1 + int(raw[0])
		records = append(records, entry{string(raw[1:keyEnd]), slices.Clone(raw[keyEnd:size])})
		largest = max(largest, size)
		raw = raw[size:]
	}
	return records, largest, true
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	for {
		p.mu.Lock()
		log := p.topic(q.Get("topic")).log
		p.mu.Unlock()
		if from < len(log) || !time.Now().Before(until) || r.Context().Err() != nil {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(log)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, e := range log[min(from, len(log)):] {
				if len(out) > readBytes {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(e.key)+len(e.value)))
				out = append(out, byte(len(e.key)))
				out = append(append(out, e.key...), e.value...)
			}
			_, _ = w.Write(out)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (p *Platform) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	time.Sleep(storeDelay)
	p.mu.Lock()
	log := p.topic(r.URL.Query().Get("topic")).log
	p.mu.Unlock()
	newest := map[string]int{}
	for i, e := range log {
		newest[e.key] = i
	}
	keys := make([]string, 0, len(newest))
	for key, i := range newest {
		if len(log[i].value) > 0 && key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		i := newest[key]
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		size += len(log[i].value)
		items = append(items, item{key, base64.StdEncoding.EncodeToString(log[i].value), i})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": len(log)})
}

func (p *Platform) expire() {
	for name, m := range p.members {
		if time.Since(m.seen) > m.ttl {
			delete(p.members, name)
			p.generation++
		}
	}
}

func (p *Platform) assigned() []string {
	names := make([]string, 0, len(p.members))
	for name := range p.members {
		names = append(names, name)
	}
	slices.Sort(names)
	out := make([]string, partitions)
	for i := range out {
		if len(names) > 0 {
			out[i] = names[i%len(names)]
		}
	}
	return out
}

func (p *Platform) join(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Group, Member string
		Topics        []string
		TTLMs         int64
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Topics) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	if _, known := p.members[in.Member]; !known {
		p.generation++
	}
	p.members[in.Member] = member{time.Now(), time.Duration(in.TTLMs) * time.Millisecond}
	rows := [][]any{}
	for part, name := range p.assigned() {
		if name == in.Member {
			rows = append(rows, []any{in.Topics[0], part, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"generation": p.generation, "parts": rows})
}

func (p *Platform) leave(w http.ResponseWriter, r *http.Request) {
	var in struct{ Group, Member string }
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.members[in.Member]; known {
		delete(p.members, in.Member)
		p.generation++
	}
	answer(w, http.StatusOK, struct{}{})
}

func (p *Platform) owners(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(storeDelay)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	rows := [][]any{}
	for part, name := range p.assigned() {
		if name != "" {
			rows = append(rows, []any{"owners", part, name, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"parts": rows})
}

// Publish writes a version of the configuration with the given routes.
func (p *Platform) Publish(version int, routes []Route, services ...string) {
	type object = map[string]any
	out := []object{}
	for _, r := range routes {
		out = append(out, object{"name": r.Name, "host": r.Host, "prefix": r.Prefix, "kind": "unsafe", "timeoutMs": 3000, "sloMs": 600,
			"priority": 0, "service": r.Service, "attempts": r.Attempts, "stretch": r.Stretch})
	}
	pools := []object{}
	for _, s := range services {
		pools = append(pools, object{"name": s, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false})
	}
	p.Put("keyed.op", "config", object{"version": version, "routes": out, "services": pools,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	p.Record.Line("operator: version %d: %s", version, fmt.Sprint(routes))
}

// Route is a route of the configuration.
type Route struct {
	Name, Host, Prefix, Service string
	Attempts                    int
	Stretch                     float64
}
