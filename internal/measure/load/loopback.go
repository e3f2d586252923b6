package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/manifest"
)

// Parameters of the loopback measurement.
const (
	loopClients   = 32
	loopEndpoints = 4
	loopSlots     = 16
	loopBodyBytes = 512
	loopDuration  = 3 * time.Second
	loopWarmup    = 500 * time.Millisecond
	loopRepeats   = 3
	loopService   = "tabs"
	loopDeadline  = 5000 // ms
)

// WrongAnswerError reports that a server did not echo the request body with status 200.
type WrongAnswerError struct{ Status int }

func (e *WrongAnswerError) Error() string {
	return fmt.Sprintf("unexpected answer with status %d", e.Status)
}

// Loopback drives the real handler with closed-loop clients over loopback connections
// and compares it with a bare forwarder that only copies requests and answers using
// net/http. Runs of the two alternate so that both see the same machine load.
func Loopback(w io.Writer) error {
	var servers servers
	defer servers.close()
	endpoints, err := servers.startEndpoints()
	if err != nil {
		return err
	}
	bare, err := servers.start(newForwarder(endpoints))
	if err != nil {
		return err
	}
	entry, err := servers.start(newEntry(endpoints))
	if err != nil {
		return err
	}
	t := newTable(fmt.Sprintf("Real loopback: %d clients in closed loop, %d endpoints, %d-byte echo; workers, entry and clients in one process", loopClients, loopEndpoints, loopBodyBytes),
		"run", "handler: requests/s", "p50", "p99", "bare forwarder: requests/s", "p50", "p99", "throughput ratio")
	for i := range loopRepeats {
		b, err := runClients(bare)
		if err != nil {
			return err
		}
		h, err := runClients(entry)
		if err != nil {
			return err
		}
		t.row(i+1, fmt.Sprintf("%.0f", h.rate), millis(h.percentile(50)), millis(h.percentile(99)),
			fmt.Sprintf("%.0f", b.rate), millis(b.percentile(50)), millis(b.percentile(99)), fmt.Sprintf("%.2f", h.rate/b.rate))
	}
	return t.write(w)
}

// servers holds the HTTP servers of one loopback measurement.
type servers struct{ list []*http.Server }

func (s *servers) start(h http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h}
	s.list = append(s.list, server)
	go func() { _ = server.Serve(l) }() // returns once close is called
	return l.Addr().String(), nil
}

func (s *servers) close() {
	for _, server := range s.list {
		_ = server.Close()
	}
}

func (s *servers) startEndpoints() ([]dispatch.Endpoint, error) {
	var out []dispatch.Endpoint
	for i := range loopEndpoints {
		e := dispatch.Endpoint{
			Instance: fmt.Sprintf("w%d", i), BootID: "1", Slots: loopSlots, Connections: 64, Zone: "a",
		}
		addr, err := s.start(newEchoEndpoint(e))
		if err != nil {
			return nil, err
		}
		e.Addr = addr
		out = append(out, e)
	}
	return out, nil
}

func newEchoEndpoint(e dispatch.Endpoint) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]string{"instance": e.Instance, "boot_id": e.BootID, "pool": loopService})
	})
	m.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set(dispatch.HeaderRequestID, r.Header.Get(dispatch.HeaderRequestID))
		_, _ = w.Write(body)
	})
	return m
}

func newEntry(endpoints []dispatch.Endpoint) http.Handler {
	table := dispatch.NewRouteTable(1, []manifest.Service{{
		Name: loopService, Pool: loopService,
		Classes: []manifest.Class{{Name: "all", Idempotent: true, DeadlineMillis: loopDeadline}},
	}}, map[string][]dispatch.Endpoint{loopService: endpoints})
	return dispatch.NewHandler(dispatch.Options{
		Routes: func() *dispatch.RouteTable { return table }, Seed: defaultSeed,
	})
}

// newForwarder returns a minimal proxy as the baseline: it sends each request to the
// next endpoint through an http.Transport, without queue, deadline, checks or accounting.
func newForwarder(endpoints []dispatch.Endpoint) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: loopClients}
	var next atomic.Uint64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e := endpoints[next.Add(1)%uint64(len(endpoints))]
		out := r.Clone(r.Context())
		out.URL.Scheme, out.URL.Host, out.RequestURI = "http", e.Addr, ""
		resp, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}

// loadResult holds the throughput and latencies that the clients measured.
type loadResult struct {
	rate  float64
	times *hdrhistogram.Histogram
}

func (d loadResult) percentile(q float64) int64 { return d.times.ValueAtQuantile(q) }

// runClients runs loopClients concurrent clients against addr. Each client sends one
// request at a time and checks every answer.
func runClients(addr string) (loadResult, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: loopClients}
	defer transport.CloseIdleConnections()
	var (
		wg         sync.WaitGroup
		mu         sync.Mutex
		clientErrs error
	)
	out := loadResult{times: newHistogram()}
	start := time.Now()
	for range loopClients {
		wg.Go(func() {
			times, err := runClient(transport, addr, start)
			mu.Lock()
			defer mu.Unlock()
			out.times.Merge(times)
			clientErrs = errors.CombineErrors(clientErrs, err)
		})
	}
	wg.Wait()
	out.rate = float64(out.times.TotalCount()) / (loopDuration - loopWarmup).Seconds()
	return out, clientErrs
}

func runClient(transport http.RoundTripper, addr string, start time.Time) (*hdrhistogram.Histogram, error) {
	times := newHistogram()
	body := bytes.Repeat([]byte("x"), loopBodyBytes)
	for time.Since(start) < loopDuration {
		sentAt := time.Now()
		if err := post(transport, addr, body); err != nil {
			return times, err
		}
		if sentAt.Sub(start) >= loopWarmup {
			record(times, time.Since(sentAt))
		}
	}
	return times, nil
}

func post(transport http.RoundTripper, addr string, body []byte) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/"+loopService+"/x", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return errors.Wrap(err, "round trip")
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK || !bytes.Equal(got, body) {
		return &WrongAnswerError{Status: resp.StatusCode}
	}
	return nil
}
