package standin

import (
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"cyclamenwheel/internal/platform"
)

// Paths of the control API.
const (
	pathControlInstances    = "/control/instances"
	pathControlFaults       = "/control/faults"
	pathControlSettings     = "/control/settings"
	pathControlTrim         = "/control/log/trim"
	pathControlJobs         = "/control/jobs"
	pathControlTasks        = "/control/tasks"
	pathControlHistory      = "/control/history"
	pathControlAvailability = "/control/availability"
	pathControlReset        = "/control/availability/reset"
	pathControlViolations   = "/control/violations"
)

// historyPage is how many runs one answer holds.
const historyPage = 20_000

// InstanceTruth is an instance as it is, without lag.
type InstanceTruth struct {
	platform.Instance
	// Revision is the maintenance revision installed.
	Revision int `json:"revision"`
	// Running is the operation under way.
	Running string `json:"running,omitempty"`
	Fenced  bool   `json:"fenced,omitempty"`
	Boots   int    `json:"boots"`
}

// InstanceChange steers one instance.
type InstanceChange struct {
	// State gone loses it at once, leaving marks it so without an operation,
	// live boots it anew. Empty leaves it.
	State platform.InstanceState `json:"state,omitempty"`
	// Pool puts it into a pool without a reboot, to form a fleet for a test.
	Pool *string `json:"pool,omitempty"`
	// Addr lists the instance at another address, such as that of a proxy in
	// front of it. Its endpoint stays where it is.
	Addr string `json:"addr,omitempty"`
	// Entry adds the row of an entry or changes it.
	Entry *EntryRow `json:"entry,omitempty"`
}

// EntryRow is what the list says of an entry.
type EntryRow struct {
	Zone string `json:"zone"`
	Addr string `json:"addr"`
}

// Settings are what can be changed while the stand-in runs; nil leaves one.
type Settings struct {
	LagMillis        *int64 `json:"lag_ms,omitempty"`
	RebootMillis     *int64 `json:"reboot_ms,omitempty"`
	DrainLimitMillis *int64 `json:"drain_limit_ms,omitempty"`
	RetentionMillis  *int64 `json:"retention_ms,omitempty"`
	ReportLagMillis  *int64 `json:"report_lag_ms,omitempty"`
}

// heldAnswer counts calls that a delay holds up.
type heldAnswer struct {
	Held int `json:"held"`
}

// trimRequest drops the log's records before an offset.
type trimRequest struct {
	Before uint64 `json:"before"`
}

// failingRequest makes a worker fail its tasks.
type failingRequest struct {
	Failing bool `json:"failing"`
}

func (s *Standin) controlRouter() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(pathControlInstances, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.fleet.truth())
	}).Methods(http.MethodGet)
	r.HandleFunc(pathControlInstances+"/{id}", s.handleChange).Methods(http.MethodPut)
	r.HandleFunc(pathControlInstances+"/{id}", s.handleRemove).Methods(http.MethodDelete)
	r.HandleFunc(pathControlInstances+"/{id}/fault", s.handleEndpointFault).Methods(http.MethodPut)
	r.HandleFunc(pathControlInstances+"/{id}/failing", s.handleFailing).Methods(http.MethodPut)
	r.HandleFunc(pathControlFaults+"/{class}", s.handlePlatformFault).Methods(http.MethodPut)
	r.HandleFunc(pathControlFaults, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, heldAnswer{Held: s.faults.heldWith(r.URL.Query().Get("with"))})
	}).Methods(http.MethodGet)
	r.HandleFunc(pathControlFaults, func(w http.ResponseWriter, _ *http.Request) {
		s.faults.clear()
		w.WriteHeader(http.StatusAccepted)
	}).Methods(http.MethodDelete)
	r.HandleFunc(pathControlSettings, func(w http.ResponseWriter, r *http.Request) {
		accept(w, r, s.apply)
	}).Methods(http.MethodPut)
	r.HandleFunc(pathControlTrim, s.handleTrim).Methods(http.MethodPost)
	r.HandleFunc(pathControlJobs+"/{job}", s.handleJob).Methods(http.MethodPut)
	s.observeRoutes(r)
	return r
}

// observeRoutes tell what really happened.
func (s *Standin) observeRoutes(r *mux.Router) {
	get := func(path string, answer func() any) {
		r.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, answer())
		}).Methods(http.MethodGet)
	}
	get(pathControlTasks, func() any { return platform.ReportsAnswer{Tasks: s.tasks.truth()} })
	get(pathControlAvailability, func() any { return s.fleet.availability() })
	get(pathControlViolations, func() any { return s.hist.violations() })
	r.HandleFunc(pathControlReset, func(w http.ResponseWriter, _ *http.Request) {
		s.fleet.resetAvailability()
		w.WriteHeader(http.StatusAccepted)
	}).Methods(http.MethodPost)
	r.HandleFunc(pathControlHistory, func(w http.ResponseWriter, r *http.Request) {
		from, err := intArg(r, "from", 1)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, http.StatusOK, s.hist.page(int(from), historyPage))
	}).Methods(http.MethodGet)
}

func (s *Standin) handleChange(w http.ResponseWriter, r *http.Request) {
	accept(w, r, func(c InstanceChange) error { return s.fleet.change(mux.Vars(r)["id"], c) })
}

func (s *Standin) handleRemove(w http.ResponseWriter, r *http.Request) {
	if err := s.fleet.remove(mux.Vars(r)["id"]); err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (s *Standin) handleEndpointFault(w http.ResponseWriter, r *http.Request) {
	accept(w, r, func(f EndpointFault) error {
		ep, err := s.fleet.endpointOf(mux.Vars(r)["id"])
		if err == nil {
			ep.setFault(f)
		}
		return err
	})
}

func (s *Standin) handleFailing(w http.ResponseWriter, r *http.Request) {
	accept(w, r, func(f failingRequest) error {
		id := mux.Vars(r)["id"]
		_, err := s.fleet.endpointOf(id)
		if err == nil {
			s.tasks.setFailing(id, f.Failing)
		}
		return err
	})
}

func (s *Standin) handlePlatformFault(w http.ResponseWriter, r *http.Request) {
	accept(w, r, func(f PlatformFault) error {
		class := Class(mux.Vars(r)["class"])
		if !slices.Contains(Classes(), class) {
			return &RequestError{Field: "class", Detail: string(class)}
		}
		s.faults.set(class, f)
		return nil
	})
}

func (s *Standin) handleTrim(w http.ResponseWriter, r *http.Request) {
	accept(w, r, func(t trimRequest) error {
		s.log.trim(t.Before)
		return nil
	})
}

func (s *Standin) handleJob(w http.ResponseWriter, r *http.Request) {
	accept(w, r, func(truth JobTruth) error {
		s.tasks.setJob(mux.Vars(r)["job"], truth)
		return nil
	})
}

func (s *Standin) apply(c Settings) error {
	with := func(ms *int64, set func(time.Duration)) {
		if ms != nil {
			set(time.Duration(*ms) * time.Millisecond)
		}
	}
	with(c.RetentionMillis, s.log.setRetention)
	with(c.ReportLagMillis, s.tasks.setLag)
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	with(c.LagMillis, func(d time.Duration) { s.fleet.lag = d })
	with(c.RebootMillis, func(d time.Duration) { s.fleet.reboot = d })
	with(c.DrainLimitMillis, func(d time.Duration) { s.fleet.drain = d })
	return nil
}
