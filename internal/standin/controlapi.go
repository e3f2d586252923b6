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

// maxHistoryPageRuns is the maximum number of runs in one response.
const maxHistoryPageRuns = 20_000

// ActualInstance is the actual state of an instance, without lag.
type ActualInstance struct {
	platform.Instance
	// Revision is the installed maintenance revision.
	Revision int `json:"revision"`
	// OperationInProgress is the id of the operation in progress.
	OperationInProgress string `json:"running,omitempty"`
	Fenced              bool   `json:"fenced,omitempty"`
	Boots               int    `json:"boots"`
}

// InstanceChange describes a change of one instance.
type InstanceChange struct {
	// State "gone" takes the instance down immediately, "leaving" marks it as
	// leaving without an operation, and "live" boots it again. Empty keeps the
	// state.
	State platform.InstanceState `json:"state,omitempty"`
	// Pool assigns the instance to a pool without a reboot, to form a fleet for a
	// test.
	Pool *string `json:"pool,omitempty"`
	// Addr lists the instance at another address, such as that of a proxy in front
	// of it. The endpoint keeps listening at its own address.
	Addr string `json:"addr,omitempty"`
	// Entry adds an entry or changes its zone and address.
	Entry *EntryRow `json:"entry,omitempty"`
}

// EntryRow is the zone and address listed for an entry.
type EntryRow struct {
	Zone string `json:"zone"`
	Addr string `json:"addr"`
}

// Settings can be changed while the platform runs; nil keeps the current value.
type Settings struct {
	LagMillis        *int64 `json:"lag_ms,omitempty"`
	RebootMillis     *int64 `json:"reboot_ms,omitempty"`
	DrainLimitMillis *int64 `json:"drain_limit_ms,omitempty"`
	RetentionMillis  *int64 `json:"retention_ms,omitempty"`
	ReportLagMillis  *int64 `json:"report_lag_ms,omitempty"`
}

// delayedCallsAnswer is the number of calls currently delayed by a fault.
type delayedCallsAnswer struct {
	Held int `json:"held"`
}

// trimRequest asks to drop the log records before an offset.
type trimRequest struct {
	Before uint64 `json:"before"`
}

// failingRequest sets whether a worker fails its tasks.
type failingRequest struct {
	Failing bool `json:"failing"`
}

func (s *Standin) controlRouter() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(pathControlInstances, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.fleet.actualInstances())
	}).Methods(http.MethodGet)
	r.HandleFunc(pathControlInstances+"/{id}", s.handleChange).Methods(http.MethodPut)
	r.HandleFunc(pathControlInstances+"/{id}", s.handleRemove).Methods(http.MethodDelete)
	r.HandleFunc(pathControlInstances+"/{id}/fault", s.handleEndpointFault).Methods(http.MethodPut)
	r.HandleFunc(pathControlInstances+"/{id}/failing", s.handleFailing).Methods(http.MethodPut)
	r.HandleFunc(pathControlFaults+"/{class}", s.handlePlatformFault).Methods(http.MethodPut)
	r.HandleFunc(pathControlFaults, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, delayedCallsAnswer{Held: s.faults.countDelayed(r.URL.Query().Get("with"))})
	}).Methods(http.MethodGet)
	r.HandleFunc(pathControlFaults, func(w http.ResponseWriter, _ *http.Request) {
		s.faults.clear()
		w.WriteHeader(http.StatusAccepted)
	}).Methods(http.MethodDelete)
	r.HandleFunc(pathControlSettings, func(w http.ResponseWriter, r *http.Request) {
		handleJSON(w, r, s.applySettings)
	}).Methods(http.MethodPut)
	r.HandleFunc(pathControlTrim, s.handleTrim).Methods(http.MethodPost)
	r.HandleFunc(pathControlJobs+"/{job}", s.handleJob).Methods(http.MethodPut)
	s.addObservationRoutes(r)
	return r
}

// addObservationRoutes adds the routes that report the actual state and what
// happened.
func (s *Standin) addObservationRoutes(r *mux.Router) {
	get := func(path string, answer func() any) {
		r.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, answer())
		}).Methods(http.MethodGet)
	}
	get(pathControlTasks, func() any { return platform.ReportsAnswer{Tasks: s.tasks.currentReports()} })
	get(pathControlAvailability, func() any { return s.fleet.availability() })
	get(pathControlViolations, func() any { return s.history.violations() })
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
		writeJSON(w, http.StatusOK, s.history.page(int(from), maxHistoryPageRuns))
	}).Methods(http.MethodGet)
}

func (s *Standin) handleChange(w http.ResponseWriter, r *http.Request) {
	handleJSON(w, r, func(c InstanceChange) error { return s.fleet.changeInstance(mux.Vars(r)["id"], c) })
}

func (s *Standin) handleRemove(w http.ResponseWriter, r *http.Request) {
	if err := s.fleet.removeInstance(mux.Vars(r)["id"]); err != nil {
		http.Error(w, err.Error(), errorStatus(err))
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (s *Standin) handleEndpointFault(w http.ResponseWriter, r *http.Request) {
	handleJSON(w, r, func(f EndpointFault) error {
		ep, err := s.fleet.endpointOf(mux.Vars(r)["id"])
		if err == nil {
			ep.setFault(f)
		}
		return err
	})
}

func (s *Standin) handleFailing(w http.ResponseWriter, r *http.Request) {
	handleJSON(w, r, func(f failingRequest) error {
		id := mux.Vars(r)["id"]
		_, err := s.fleet.endpointOf(id)
		if err == nil {
			s.tasks.setFailing(id, f.Failing)
		}
		return err
	})
}

func (s *Standin) handlePlatformFault(w http.ResponseWriter, r *http.Request) {
	handleJSON(w, r, func(f PlatformFault) error {
		class := Class(mux.Vars(r)["class"])
		if !slices.Contains(Classes(), class) {
			return &RequestError{Field: "class", Detail: string(class)}
		}
		s.faults.set(class, f)
		return nil
	})
}

func (s *Standin) handleTrim(w http.ResponseWriter, r *http.Request) {
	handleJSON(w, r, func(t trimRequest) error {
		s.log.trim(t.Before)
		return nil
	})
}

func (s *Standin) handleJob(w http.ResponseWriter, r *http.Request) {
	handleJSON(w, r, func(truth JobFactors) error {
		s.tasks.setJob(mux.Vars(r)["job"], truth)
		return nil
	})
}

func (s *Standin) applySettings(c Settings) error {
	setIfGiven := func(ms *int64, set func(time.Duration)) {
		if ms != nil {
			set(time.Duration(*ms) * time.Millisecond)
		}
	}
	setIfGiven(c.RetentionMillis, s.log.setRetention)
	setIfGiven(c.ReportLagMillis, s.tasks.setReportLag)
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	setIfGiven(c.LagMillis, func(d time.Duration) { s.fleet.listLag = d })
	setIfGiven(c.RebootMillis, func(d time.Duration) { s.fleet.rebootTime = d })
	setIfGiven(c.DrainLimitMillis, func(d time.Duration) { s.fleet.drainLimit = d })
	return nil
}
