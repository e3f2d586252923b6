// Package standin is a small platform for tests and the demo: a log service,
// an instance list, pool operations, workers' tasks and the workers' HTTP
// endpoints, all in one process. Everything that a real platform does wrong
// can be asked of it: lag, outages, lost and repeated answers, reboots, and
// endpoints that answer late, cut, twice or crossed. A control API on its own
// listener steers this and tells what really happened.
package standin

import (
	"context"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"time"
)

// Defaults of Options.
const (
	DefaultRetention  = 10 * time.Minute
	DefaultReboot     = 300 * time.Millisecond
	DefaultDrainLimit = 10 * time.Second
	DefaultListen     = "127.0.0.1:0"
)

const (
	// closeTimeout bounds how long Close waits for handlers.
	closeTimeout = 2 * time.Second
	// headerTimeout bounds how long a caller may take to send its header.
	headerTimeout = 10 * time.Second
)

// Options are the settings of a stand-in. Zero values take the defaults; a zero
// lag is no lag.
type Options struct {
	Fleet FleetSpec
	// Listen and Control are the addresses of the platform's protocol and of
	// the control API.
	Listen  string
	Control string
	// BasePort is the first worker's port; 0 takes free ones.
	BasePort   int
	Retention  time.Duration
	Lag        time.Duration
	Reboot     time.Duration
	DrainLimit time.Duration
	ReportLag  time.Duration
	// AppendsPerSecond delays appends beyond this rate; 0 sets no limit.
	AppendsPerSecond int
	Logger           *slog.Logger
}

func (o Options) withDefaults() Options {
	if o.Listen == "" {
		o.Listen = DefaultListen
	}
	if o.Control == "" {
		o.Control = DefaultListen
	}
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.Reboot == 0 {
		o.Reboot = DefaultReboot
	}
	if o.DrainLimit == 0 {
		o.DrainLimit = DefaultDrainLimit
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}

// Standin is a running platform.
type Standin struct {
	opts    Options
	ctx     context.Context
	cancel  context.CancelFunc
	log     *logStore
	fleet   *fleet
	tasks   *taskStore
	hist    *history
	faults  *faultSet
	servers []*http.Server
	addrs   []string
}

// New returns a stand-in that has not been started.
func New(opts Options) *Standin {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	tasks := newTaskStore(opts.ReportLag)
	return &Standin{opts: opts, ctx: ctx, cancel: cancel, log: newLogStore(opts.Retention),
		tasks: tasks, fleet: newFleet(ctx, opts, tasks), hist: newHistory(), faults: newFaultSet()}
}

// Start boots the fleet and opens the listeners. After a failure everything is
// closed again.
func (s *Standin) Start() error {
	err := s.start()
	if err != nil {
		s.Close()
	}
	return err
}

func (s *Standin) start() error {
	if err := s.opts.Fleet.Validate(); err != nil {
		return err
	}
	if err := s.fleet.boot(s.opts.Fleet, s.opts.BasePort, s.hist); err != nil {
		return err
	}
	if err := s.serve(s.opts.Listen, s.platformRouter()); err != nil {
		return err
	}
	if err := s.serve(s.opts.Control, s.controlRouter()); err != nil {
		return err
	}
	s.opts.Logger.Info("standin started", "platform", s.URL(), "control", s.ControlURL(),
		"instances", len(s.fleet.truth()))
	return nil
}

func (s *Standin) serve(addr string, handler http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return &ListenError{Addr: addr, Cause: err}
	}
	// Handlers end with the stand-in, which ends long polls; what net/http
	// prints of connections that faults close is of no interest.
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout,
		BaseContext: func(net.Listener) context.Context { return s.ctx },
		ErrorLog:    log.New(io.Discard, "", 0)}
	s.servers = append(s.servers, srv)
	s.addrs = append(s.addrs, ln.Addr().String())
	go func() { _ = srv.Serve(ln) }()
	return nil
}

// URL is the base URL of the platform's protocol.
func (s *Standin) URL() string { return "http://" + s.addrs[0] }

// ControlURL is the base URL of the control API.
func (s *Standin) ControlURL() string { return "http://" + s.addrs[1] }

// Close stops everything and waits until it has stopped.
func (s *Standin) Close() {
	s.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, srv := range s.servers {
		_ = srv.Shutdown(ctx)
		_ = srv.Close()
	}
	s.fleet.close()
}
