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

	"cyclamenwheel/internal/intake"
)

const (
	// readHeaderTimeout closes connections whose client sends no request header.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout exceeds the usual scrape interval, so that a metrics collector
	// can reuse its connection.
	idleTimeout = 2 * time.Minute
	// closeTimeout bounds how long Close waits for requests in flight.
	closeTimeout = 2 * time.Second
)

// Options configures a Server.
type Options struct {
	Process Process
	Listen  netip.AddrPort
	// TLS must require client certificates. It is mandatory unless Listen is a
	// loopback address, where it is ignored and plain HTTP is served.
	TLS    *tls.Config
	Logger *slog.Logger
	// Status returns the additional detail shown at /status; nil omits it.
	Status func() any
	// Clients limits the clients of this server and of others of the process; nil sets no limits.
	Clients *intake.Guard
}

// Server is the HTTP server for operators of one process.
type Server struct {
	opts    Options
	router  *mux.Router
	http    *http.Server
	started time.Time

	mu              sync.Mutex
	notReadyReasons func() []string
	sections        []section

	addr       netip.AddrPort
	signals    chan os.Signal
	background sync.WaitGroup
}

// New returns a server that does not listen until Start.
func New(opts Options) (*Server, error) {
	if opts.Listen.Addr().IsLoopback() {
		opts.TLS = nil
	} else if opts.TLS == nil || opts.TLS.ClientAuth < tls.RequireAnyClientCert {
		return nil, &TLSRequiredError{Listen: opts.Listen.String()}
	}
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Server{opts: opts, router: mux.NewRouter(), started: time.Now(), notReadyReasons: initialReasons}
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

// Handle adds a handler for exactly this path. It must be called before Start.
func (s *Server) Handle(path string, handler http.Handler) {
	s.router.Handle(path, handler)
}

// SetReady sets the function that returns the reasons why the process is not
// ready; no reasons means ready. Until it is called, the process is not ready. The
// function is called from the server's goroutines.
func (s *Server) SetReady(reasons func() []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notReadyReasons = reasons
}

// Start listens and serves in the background, and writes the state dump to the log
// on each SIGUSR1.
func (s *Server) Start() error {
	listener, err := s.listen()
	if err != nil {
		return &ListenError{Listen: s.opts.Listen.String(), Cause: err}
	}
	s.addr = listener.Addr().(*net.TCPAddr).AddrPort()
	if s.opts.TLS != nil {
		listener = tls.NewListener(listener, s.opts.TLS)
	}
	s.signals = make(chan os.Signal, 1)
	signal.Notify(s.signals, syscall.SIGUSR1)
	s.background.Go(func() { s.serve(listener) })
	s.background.Go(s.dumpOnSignal)
	return nil
}

func (s *Server) listen() (net.Listener, error) {
	if s.opts.Clients == nil {
		return net.Listen("tcp", s.opts.Listen.String())
	}
	s.opts.Clients.Protect(s.http)
	return s.opts.Clients.Listen(s.opts.Listen.String())
}

// Addr returns the address that the server listens on. It is valid after Start.
func (s *Server) Addr() netip.AddrPort { return s.addr }

// Close stops the server. It waits up to closeTimeout for requests in flight and
// then cuts them off.
func (s *Server) Close() error {
	if s.signals == nil {
		return nil
	}
	signal.Stop(s.signals)
	close(s.signals)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	s.background.Wait()
	s.signals = nil
	if err != nil {
		return &CloseError{Cause: err}
	}
	return nil
}

func (s *Server) serve(listener net.Listener) {
	if err := s.http.Serve(listener); err != http.ErrServerClosed {
		s.opts.Logger.Error("operator server stopped unexpectedly", Err(err))
	}
}

func (s *Server) dumpOnSignal() {
	for range s.signals {
		s.logSections()
	}
}

func initialReasons() []string { return []string{"starting"} }
