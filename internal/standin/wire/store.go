package wire

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	// partitions is the number of partitions of the topic that nodes distribute among
	// themselves.
	partitions = 24
	// recentAppends is how many appends of a producer are recognised when they are repeated.
	recentAppends = 5
	// recordBytes limits one record, callBytes the records of one append.
	recordBytes = 256 << 10
	callBytes   = 2 << 20
	// pageItems limits a page of newest records.
	pageItems    = 500
	pollInterval = 5 * time.Millisecond
)

// topic is the log of the only partition of a topic that holds records.
type topic struct {
	first   int64
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

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

func (p *Platform) topic(name string) *topic {
	t := p.topics[name]
	if t == nil {
		t = &topic{writers: map[string]*writer{}}
		p.topics[name] = t
	}
	return t
}

// appendKeyed appends a record with a key, as operators and endpoints do.
func (p *Platform) appendKeyed(name, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	t := p.topic(name)
	t.records = append(t.records, append(record, value...))
}

// NodeRecords returns all records that nodes have written: those of every topic but the ones of
// operators and endpoints.
func (p *Platform) NodeRecords() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []byte
	for name, t := range p.topics {
		if name == "keyed.op" || name == "keyed.servers" {
			continue
		}
		for _, r := range t.records {
			all = append(all, r...)
		}
	}
	return all
}

// PutForeign appends a raw record to a topic, as another writer would.
func (p *Platform) PutForeign(topicName string, record []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.topic(topicName)
	t.records = append(t.records, record)
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	raw, err := io.ReadAll(r.Body)
	records, ok := splitRecords(raw)
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !withinLimits(records) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	if p.storeDown {
		p.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, answer := p.appendLocked(p.topic(q.Get("topic")), q.Get, records)
	lost := status == http.StatusOK && p.rng.Float64() < p.faults.LostAnswers
	p.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	reply(w, status, answer)
}

func (p *Platform) appendLocked(t *topic, get func(string) string, records [][]byte) (int, appendAnswer) {
	number := func(name string) int64 {
		n, _ := strconv.ParseInt(get(name), 10, 64) // a missing number counts as 0
		return n
	}
	producer, epoch, seq := get("producer"), number("epoch"), number("seq")
	if producer != "" {
		state := t.writers[producer]
		if state == nil || epoch > state.epoch {
			state = &writer{epoch: epoch, next: seq, recent: map[int64]appendAnswer{}}
			t.writers[producer] = state
		}
		if epoch < state.epoch {
			return http.StatusConflict, appendAnswer{Reason: "fenced"}
		}
		if earlier, isRetry := state.recent[seq]; isRetry && len(records) > 0 {
			return http.StatusOK, earlier
		}
		if len(records) > 0 && seq != state.next {
			return http.StatusConflict, appendAnswer{Reason: "seq"}
		}
	}
	if get("at") != "" && number("at") != t.end() {
		return http.StatusPreconditionFailed, appendAnswer{End: t.end()}
	}
	answer := appendAnswer{Offset: t.end()}
	t.records = append(t.records, records...)
	answer.End = t.end()
	if producer != "" && len(records) > 0 {
		state := t.writers[producer]
		state.recent[seq] = answer
		delete(state.recent, seq-recentAppends)
		state.next = seq + 1
	}
	return http.StatusOK, answer
}

// withinLimits reports whether the store takes the records in one call.
func withinLimits(records [][]byte) bool {
	total := 0
	for _, r := range records {
		if len(r) > recordBytes {
			return false
		}
		total += len(r)
	}
	return total <= callBytes
}

func splitRecords(raw []byte) ([][]byte, bool) {
	var out [][]byte
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

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	for {
		p.mu.Lock()
		down, t := p.storeDown, p.topic(q.Get("topic"))
		first, end := t.first, t.end()
		var records [][]byte
		if from >= first && from < end {
			records = slices.Clone(t.records[from-first:])
		}
		p.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case from < first:
			reply(w, http.StatusGone, map[string]int64{"earliest": first})
			return
		case len(records) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil:
			writePage(w, first, end, records)
			return
		}
		time.Sleep(pollInterval)
	}
}

func writePage(w http.ResponseWriter, first, end int64, records [][]byte) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, rec := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
		out = append(out, rec...)
	}
	_, _ = w.Write(out) // the reader may have disconnected
}

type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

func (p *Platform) handleNewest(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	if p.storeDown {
		p.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t := p.topic(r.URL.Query().Get("topic"))
	newest := map[string]newestItem{}
	for i, rec := range t.records {
		if len(rec) == 0 || len(rec) < 1+int(rec[0]) {
			continue // a record without a key, from another writer
		}
		key := string(rec[1 : 1+rec[0]])
		value := rec[1+rec[0]:]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = newestItem{key, base64.StdEncoding.EncodeToString(value), t.first + int64(i)}
	}
	end := t.end()
	p.mu.Unlock()
	items := []newestItem{}
	for key, item := range newest {
		if key > r.URL.Query().Get("after") {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b newestItem) int { return slices.Compare([]byte(a.Key), []byte(b.Key)) })
	more := len(items) > pageItems
	reply(w, http.StatusOK, map[string]any{"items": items[:min(pageItems, len(items))], "hasMore": more, "end": end})
}

type groupMember struct {
	lastSeen time.Time
	ttl      time.Duration
}

type groupCall struct {
	Member string `json:"member"`
	TTLMs  int64  `json:"ttlMs"`
}

func (p *Platform) handleJoin(w http.ResponseWriter, r *http.Request) {
	var in groupCall
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.Member == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.storeDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.expireMembersLocked()
	if _, known := p.members[in.Member]; !known {
		p.generation++
	}
	p.members[in.Member] = groupMember{time.Now(), time.Duration(in.TTLMs) * time.Millisecond}
	rows := [][]any{}
	for part, member := range p.assignPartitionsLocked() {
		if member == in.Member {
			rows = append(rows, []any{"owners", part, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": p.generation, "parts": rows})
}

func (p *Platform) expireMembersLocked() {
	for name, m := range p.members {
		if time.Since(m.lastSeen) > m.ttl {
			delete(p.members, name)
			p.generation++
		}
	}
}

// assignPartitionsLocked returns the member that each partition is assigned to.
func (p *Platform) assignPartitionsLocked() []string {
	names := make([]string, 0, len(p.members))
	for name := range p.members {
		names = append(names, name)
	}
	slices.Sort(names)
	out := make([]string, partitions)
	for part := range out {
		if len(names) > 0 {
			out[part] = names[part%len(names)]
		}
	}
	return out
}

func (p *Platform) handleLeave(w http.ResponseWriter, r *http.Request) {
	var in groupCall
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
	reply(w, http.StatusOK, struct{}{})
}

func (p *Platform) handleOwners(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.storeDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.expireMembersLocked()
	rows := [][]any{}
	for part, member := range p.assignPartitionsLocked() {
		if member != "" {
			rows = append(rows, []any{"owners", part, member, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"parts": rows})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}
