package operator

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Paths that every process serves.
const (
	PathMetrics = "/metrics"
	PathLive    = "/livez"
	PathReady   = "/readyz"
	PathDump    = "/dump"
	PathStatus  = "/status"
)

// sectionParam is the query parameter that selects sections of a dump; it may be
// repeated.
const sectionParam = "section"

// section is a named part of the state dump.
type section struct {
	name string
	dump func() any
}

// Readiness is the response body at PathReady.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reasons lists why the process is not ready; empty if it is.
	Reasons []string `json:"reasons"`
}

// Status is the response body at PathStatus.
type Status struct {
	Process    Process   `json:"process"`
	StartedAt  time.Time `json:"started_at"`
	UptimeSecs float64   `json:"uptime_seconds"`
	Readiness  Readiness `json:"readiness"`
	Detail     any       `json:"detail,omitempty"`
}

func (s *Server) routes() {
	s.router.HandleFunc(PathMetrics, serveMetrics).Methods(http.MethodGet)
	s.router.HandleFunc(PathLive, serveLive).Methods(http.MethodGet)
	s.router.HandleFunc(PathReady, s.serveReady).Methods(http.MethodGet)
	s.router.HandleFunc(PathDump, s.serveDump).Methods(http.MethodGet)
	s.router.HandleFunc(PathStatus, s.serveStatus).Methods(http.MethodGet)
}

// RegisterDump adds a section to the state dump, replacing any section of the same
// name. dump is called from the server's goroutines and must return a value that
// is no longer modified, such as an immutable snapshot.
func (s *Server) RegisterDump(name string, dump func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sections = slices.DeleteFunc(s.sections, func(old section) bool { return old.name == name })
	s.sections = append(s.sections, section{name: name, dump: dump})
}

// Readiness reports whether the process is ready, and why not.
func (s *Server) Readiness() Readiness {
	s.mu.Lock()
	notReadyReasons := s.notReadyReasons
	s.mu.Unlock()
	reasons := notReadyReasons()
	if reasons == nil {
		reasons = []string{}
	}
	return Readiness{Ready: len(reasons) == 0, Reasons: reasons}
}

func serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	metrics.WritePrometheus(w, true)
}

// serveLive succeeds whenever the process can respond. It must not depend on
// anything else: if it failed while the log is unavailable, a log outage would get
// every process restarted and lose its in-memory state.
func serveLive(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Live bool `json:"live"`
	}{true})
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	readiness := s.Readiness()
	code := http.StatusOK
	if !readiness.Ready {
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, readiness)
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	status := Status{
		Process:    s.opts.Process,
		StartedAt:  s.started.UTC(),
		UptimeSecs: time.Since(s.started).Seconds(),
		Readiness:  s.Readiness(),
	}
	if s.opts.Status != nil {
		status.Detail = s.opts.Status()
	}
	writeJSON(w, http.StatusOK, status)
}

func (s *Server) serveDump(w http.ResponseWriter, r *http.Request) {
	requested := r.URL.Query()[sectionParam]
	dump := make(map[string]json.RawMessage)
	for _, part := range s.dumpSections() {
		if len(requested) == 0 || slices.Contains(requested, part.name) {
			dump[part.name] = encodeSection(part)
		}
	}
	writeJSON(w, http.StatusOK, dump)
}

// logSections writes one log record per section, which bounds the length of a line by
// the size of a section instead of the whole state.
func (s *Server) logSections() {
	for _, part := range s.dumpSections() {
		s.opts.Logger.Info("state dump",
			slog.String(AttrSection, part.name),
			slog.Any(AttrState, encodeSection(part)))
	}
}

func (s *Server) dumpSections() []section {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.sections)
}

// encodeSection returns an error object for a section that cannot be encoded, so
// that the rest of the dump stays available: dumps are needed most while something
// is wrong.
func encodeSection(part section) json.RawMessage {
	data, err := json.Marshal(part.dump())
	if err == nil {
		return data
	}
	data, _ = json.Marshal(map[string]string{AttrError: err.Error(), AttrErrorType: ErrorType(err)})
	return data
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	data, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		code = http.StatusInternalServerError
		data, _ = json.Marshal(map[string]string{AttrError: err.Error(), AttrErrorType: ErrorType(err)})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(code)
	_, _ = w.Write(append(data, '\n'))
}
