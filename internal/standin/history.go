package standin

import (
	"sync"

	"cyclamenwheel/internal/platform"
)

// maxHistoryRuns bounds the memory of the history (about 400 bytes per run). Runs
// beyond it are only counted, and a check against the history must then fail.
const maxHistoryRuns = 1 << 20

// Run is one request that an endpoint ran.
type Run struct {
	Seq      int    `json:"seq"`
	Instance string `json:"instance"`
	BootID   string `json:"boot_id"`
	Pool     string `json:"pool"`
	Service  string `json:"service"`
	// RequestID is the id that the original caller chose.
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	BodySHA256     string `json:"body_sha256"`
	// StartMicros and EndMicros are Unix microseconds; EndMicros is 0 while the
	// request is in flight.
	StartMicros int64 `json:"start_us"`
	EndMicros   int64 `json:"end_us"`
	// StateAtStart is the instance's state when the request started, and
	// LeavingMicros how long it had been leaving by then.
	StateAtStart  platform.InstanceState `json:"state_at_start"`
	LeavingMicros int64                  `json:"leaving_us,omitempty"`
	Completed     bool                   `json:"completed"`
	// Cut marks a request whose instance went down before its response was written.
	Cut bool `json:"cut,omitempty"`
}

// History is a page of the runs, ordered by start.
type History struct {
	Runs []Run `json:"runs"`
	// Total counts all runs, Dropped those that exceeded the history's limit.
	Total   int `json:"total"`
	Dropped int `json:"dropped"`
}

// Violations counts events that must not happen at endpoints.
type Violations struct {
	// SlotViolations counts requests refused because all slots were taken, by
	// instance.
	SlotViolations map[string]int `json:"slot_violations"`
	// ConnectionViolations counts connections closed because the limit was reached,
	// by instance.
	ConnectionViolations map[string]int `json:"connection_violations"`
	// CutByOperation counts requests in flight that a planned reboot cut, CutByForce
	// those that a forced loss cut.
	CutByOperation int `json:"cut_by_operation"`
	CutByForce     int `json:"cut_by_force"`
}

// SlotTotal returns the number of slot violations of all instances.
func (v Violations) SlotTotal() int { return sumCounts(v.SlotViolations) }

// ConnectionTotal returns the number of connection violations of all instances.
func (v Violations) ConnectionTotal() int { return sumCounts(v.ConnectionViolations) }

func sumCounts(counts map[string]int) int {
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
	counts  Violations
}

func newHistory() *history {
	return &history{counts: Violations{SlotViolations: map[string]int{}, ConnectionViolations: map[string]int{}}}
}

// addRun adds a run and returns its number.
func (h *history) addRun(r Run) int {
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

func (h *history) endRun(seq int, endMicros int64, completed bool, cause downCause) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !completed {
		if cause == causeOperation {
			h.counts.CutByOperation++
		} else {
			h.counts.CutByForce++
		}
	}
	if seq > len(h.runs) {
		return
	}
	run := &h.runs[seq-1]
	run.EndMicros, run.Completed, run.Cut = endMicros, completed, !completed
}

func (h *history) countSlotViolation(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.SlotViolations[instance]++
}

func (h *history) countConnectionViolation(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.ConnectionViolations[instance]++
}

// page returns at most limit runs starting with number from.
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
	out := h.counts
	out.SlotViolations = copyCounts(h.counts.SlotViolations)
	out.ConnectionViolations = copyCounts(h.counts.ConnectionViolations)
	return out
}

func copyCounts(in map[string]int) map[string]int {
	out := make(map[string]int, len(in))
	for k, v := range in {
		out[k] = v
	}
	return out
}
