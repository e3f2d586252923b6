package operator

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/gorilla/mux"
)

const (
	// readHeaderTimeout frees connections whose client sends nothing.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is longer than the usual interval of scraping, so that a
	// collector keeps its connection.
	idleTimeout = 2 * time.Minute
	// closeLimit bounds the wait for operators' requests in flight.
	closeLimit = 2 * time.Second
)

// Options of a Server.
type Options struct {
	Process Process
	Listen  netip.AddrPort
	// TLS must demand client certificates. It is required unless Listen is on
	// loopback, where plain HTTP is served.
	TLS    *tls.Config
	Logger *slog.Logger
	// Status returns what /status shows besides the process and its
	// readiness; nil for nothing.
	Status func() any
}

// Server is the operators' HTTP server of one process.
type Server struct {
	opts    Options
	router  *mux.Router
	http    *http.Server
	started time.Time

	mu       sync.Mutex
	ready    func() []string
	sections []section

	addr    netip.AddrPort
	signals chan os.Signal
	done    sync.WaitGroup
}

// New prepares a server. Nothing listens before Start.
func New(opts Options) (*Server, error) {
	if opts.Listen.Addr().IsLoopback() {
		opts.TLS = nil
	} else if opts.TLS == nil || opts.TLS.ClientAuth < tls.RequireAnyClientCert {
		return nil, &TLSRequiredError{Listen: opts.Listen.String()}
	}
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Server{opts: opts, router: mux.NewRouter(), started: time.Now(), ready: starting}
	s.http = &http.Server{
		Handler:           s.router,
		TLSConfig:         opts.TLS,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(opts.Logger.Handler(), slog.LevelWarn),
	}
	s.routes()
	return s, nil
}

// Handle adds a handler of another duty, at an exact path. It must be called
// before Start.
func (s *Server) Handle(path string, handler http.Handler) {
	s.router.Handle(path, handler)
}

// SetReady sets what tells why the process is not ready; no reasons means that
// it is. Until it is set the process is not ready. The function is called by
// the server's goroutines.
func (s *Server) SetReady(reasons func() []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = reasons
}

// Start listens, serves, and dumps to the log on SIGUSR1.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.opts.Listen.String())
	if err != nil {
		return &ListenError{Listen: s.opts.Listen.String(), Cause: err}
	}
	s.addr = listener.Addr().(*net.TCPAddr).AddrPort()
	if s.opts.TLS != nil {
		listener = tls.NewListener(listener, s.opts.TLS)
	}
	s.signals = make(chan os.Signal, 1)
	signal.Notify(s.signals, syscall.SIGUSR1)
	s.done.Go(func() { s.serve(listener) })
	s.done.Go(s.dumpOnSignal)
	return nil
}

// Addr returns the address it listens on, once started.
func (s *Server) Addr() netip.AddrPort { return s.addr }

// Close stops the server after operators' requests in flight, within a short
// limit.
func (s *Server) Close() error {
	if s.signals == nil {
		return nil
	}
	signal.Stop(s.signals)
	close(s.signals)
	ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	s.done.Wait()
	s.signals = nil
	if err != nil {
		return &CloseError{Cause: err}
	}
	return nil
}

func (s *Server) serve(listener net.Listener) {
	if err := s.http.Serve(listener); err != http.ErrServerClosed {
		s.opts.Logger.Error("operators' server ended", Err(err))
	}
}

func (s *Server) dumpOnSignal() {
	for range s.signals {
		s.logDump()
	}
}

func starting() []string { return []string{"starting"} }
