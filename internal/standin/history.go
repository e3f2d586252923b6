package standin

import (
	"sync"

	"cyclamenwheel/internal/platform"
)

// maxHistoryRuns bounds the history's memory (about 400 bytes a run). Beyond
// it runs are only counted, and a check against the history must fail.
const maxHistoryRuns = 1 << 20

// Run is one request that an endpoint ran.
type Run struct {
	Seq      int    `json:"seq"`
	Instance string `json:"instance"`
	BootID   string `json:"boot_id"`
	Pool     string `json:"pool"`
	Service  string `json:"service"`
	// RequestID is the caller's.
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	BodySHA256     string `json:"body_sha256"`
	// StartMicros and EndMicros are Unix microseconds; EndMicros is 0 while
	// the request runs.
	StartMicros int64 `json:"start_us"`
	EndMicros   int64 `json:"end_us"`
	// StateAtStart and LeavingMicros tell how long the instance had been
	// leaving when it was given this request.
	StateAtStart  platform.InstanceState `json:"state_at_start"`
	LeavingMicros int64                  `json:"leaving_us,omitempty"`
	Completed     bool                   `json:"completed"`
	// Cut marks a request that was in flight when its instance went down.
	Cut bool `json:"cut,omitempty"`
}

// History is a part of the runs in order of their start.
type History struct {
	Runs []Run `json:"runs"`
	// Total counts all runs, Dropped those that were not kept.
	Total   int `json:"total"`
	Dropped int `json:"dropped"`
}

// Violations counts what must not happen to endpoints.
type Violations struct {
	// SlotViolations counts requests refused because all slots were taken, per
	// instance.
	SlotViolations map[string]int `json:"slot_violations"`
	// ConnectionViolations counts connections closed as too many.
	ConnectionViolations map[string]int `json:"connection_violations"`
	// CutByOperation counts requests in flight that a planned reboot cut;
	// CutByForce those that a forced loss cut.
	CutByOperation int `json:"cut_by_operation"`
	CutByForce     int `json:"cut_by_force"`
}

// SlotTotal is the number of slot violations of all instances.
func (v Violations) SlotTotal() int { return total(v.SlotViolations) }

// ConnectionTotal is the number of connection violations of all instances.
func (v Violations) ConnectionTotal() int { return total(v.ConnectionViolations) }

func total(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

type history struct {
	mu      sync.Mutex
	runs    []Run
	dropped int
	viol    Violations
}

func newHistory() *history {
	return &history{viol: Violations{SlotViolations: map[string]int{}, ConnectionViolations: map[string]int{}}}
}

// begin notes a run and returns its number.
func (h *history) begin(r Run) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Seq = len(h.runs) + h.dropped + 1
	if len(h.runs) >= maxHistoryRuns {
		h.dropped++
		return r.Seq
	}
	h.runs = append(h.runs, r)
	return r.Seq
}

func (h *history) end(seq int, endMicros int64, completed bool, why cause) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !completed {
		if why == causeOperation {
			h.viol.CutByOperation++
		} else {
			h.viol.CutByForce++
		}
	}
	if seq > len(h.runs) {
		return
	}
	run := &h.runs[seq-1]
	run.EndMicros, run.Completed, run.Cut = endMicros, completed, !completed
}

func (h *history) slotViolation(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.viol.SlotViolations[instance]++
}

func (h *history) connectionViolation(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.viol.ConnectionViolations[instance]++
}

// page returns at most limit runs from number from on.
func (h *history) page(from, limit int) History {
	h.mu.Lock()
	defer h.mu.Unlock()
	start := min(max(from-1, 0), len(h.runs))
	end := min(start+limit, len(h.runs))
	return History{Runs: append([]Run{}, h.runs[start:end]...), Total: len(h.runs) + h.dropped, Dropped: h.dropped}
}

func (h *history) violations() Violations {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.viol
	out.SlotViolations = copyCounts(h.viol.SlotViolations)
	out.ConnectionViolations = copyCounts(h.viol.ConnectionViolations)
	return out
}

func copyCounts(in map[string]int) map[string]int {
	out := make(map[string]int, len(in))
	for k, v := range in {
		out[k] = v
	}
	return out
}
