package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"cyclamenwheel/internal/platform"
)

// Limits of platform calls.
const (
	// maxPollWait bounds how long a long poll waits.
	maxPollWait = time.Minute
	// defaultPageRecords is the page size of a read without the max parameter.
	defaultPageRecords = 1000
	// maxCallBytes bounds the JSON body of a call.
	maxCallBytes = 8 << 20
)

// platformRouter serves the protocol described in docs/PLATFORM.md.
func (s *Standin) platformRouter() http.Handler {
	r := mux.NewRouter()
	handle := func(method, path string, class Class, h http.HandlerFunc) {
		r.HandleFunc(path, s.faults.withFaults(class, h)).Methods(method)
	}
	handle(http.MethodPost, platform.PathLog, ClassAppend, s.appendHandler())
	handle(http.MethodGet, platform.PathLog, ClassRead, s.handleRead)
	handle(http.MethodGet, platform.PathInstances, ClassList, s.handleInstances)
	handle(http.MethodPost, platform.PathOperations, ClassOperations, s.handleOperation)
	handle(http.MethodPost, platform.PathFence, ClassOperations, s.handleFence)
	handle(http.MethodPost, platform.PathTaskStart, ClassTasks, s.handleTaskStart)
	handle(http.MethodPost, platform.PathTaskRenew, ClassTasks, s.handleTaskRenew)
	handle(http.MethodPost, platform.PathTaskStop, ClassTasks, s.handleTaskStop)
	handle(http.MethodGet, platform.PathTasks, ClassTasks, s.handleTaskReports)
	return r
}

func (s *Standin) appendHandler() http.HandlerFunc {
	limit := rate.NewLimiter(rate.Inf, 1)
	if n := s.opts.AppendsPerSecond; n > 0 {
		limit = rate.NewLimiter(rate.Limit(n), n)
	}
	return func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxRecordBytes))
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		case err != nil || limit.Wait(r.Context()) != nil:
			// A truncated body must not become a record.
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, http.StatusOK, platform.AppendAnswer{Offset: s.log.append(data)})
	}
}

func (s *Standin) handleRead(w http.ResponseWriter, r *http.Request) {
	from, wait, err := pollArgs(r, "from")
	limit, errMax := intArg(r, "max", defaultPageRecords)
	if err != nil || errMax != nil || limit < 1 {
		http.Error(w, "invalid from, max or wait_ms", http.StatusBadRequest)
		return
	}
	page, err := s.log.read(r.Context(), from, int(limit), wait)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		writeJSON(w, http.StatusGone, platform.TrimmedAnswer{From: trimmed.From, First: trimmed.First})
		return
	}
	writeJSON(w, http.StatusOK, page)
}

func (s *Standin) handleInstances(w http.ResponseWriter, r *http.Request) {
	since, wait, err := pollArgs(r, "since")
	if err != nil {
		http.Error(w, "invalid since or wait_ms", http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, s.fleet.pollInstances(r.Context(), since, wait))
}

func (s *Standin) handleOperation(w http.ResponseWriter, r *http.Request) {
	handleJSON(w, r, s.fleet.requestOperation)
}

func (s *Standin) handleFence(w http.ResponseWriter, r *http.Request) {
	handleJSON(w, r, s.fleet.fence)
}

func (s *Standin) handleTaskStart(w http.ResponseWriter, r *http.Request) {
	handleJSON(w, r, func(req platform.StartRequest) error {
		for _, t := range req.Tasks {
			worker, known := s.fleet.workerByID(t.Instance)
			s.tasks.start(t, worker, known)
		}
		return nil
	})
}

func (s *Standin) handleTaskRenew(w http.ResponseWriter, r *http.Request) {
	handleJSON(w, r, func(req platform.RenewRequest) error {
		s.tasks.renew(req.IDs, time.Duration(req.LeaseMillis)*time.Millisecond)
		return nil
	})
}

func (s *Standin) handleTaskStop(w http.ResponseWriter, r *http.Request) {
	handleJSON(w, r, func(req platform.StopRequest) error {
		s.tasks.stop(req.IDs)
		return nil
	})
}

func (s *Standin) handleTaskReports(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, platform.ReportsAnswer{Tasks: s.tasks.laggedReports()})
}

// handleJSON decodes the JSON body of a call, rejecting unknown fields, and calls
// do with it. It responds with 202, or with the status of the error.
func handleJSON[T any](w http.ResponseWriter, r *http.Request, do func(T) error) {
	var body T
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := do(body); err != nil {
		http.Error(w, err.Error(), errorStatus(err))
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func errorStatus(err error) int {
	var (
		unknown  *UnknownInstanceError
		conflict *ConflictError
		request  *RequestError
	)
	switch {
	case errors.As(err, &unknown):
		return http.StatusNotFound
	case errors.As(err, &conflict):
		return http.StatusConflict
	case errors.As(err, &request):
		return http.StatusBadRequest
	}
	return http.StatusInternalServerError
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// pollArgs parses the position and the wait of a long poll.
func pollArgs(r *http.Request, position string) (uint64, time.Duration, error) {
	pos, err := intArg(r, position, 0)
	if err != nil {
		return 0, 0, err
	}
	ms, err := intArg(r, "wait_ms", 0)
	if err != nil {
		return 0, 0, err
	}
	return pos, time.Duration(min(ms, uint64(maxPollWait/time.Millisecond))) * time.Millisecond, nil
}

func intArg(r *http.Request, name string, fallback uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, &RequestError{Field: name, Detail: err.Error()}
	}
	return n, nil
}
