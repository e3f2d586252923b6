// Package standin runs a simulated platform in one process: the log service, the
// instance list, pool operations, the workers' tasks and the workers' HTTP
// endpoints. Its input is a fleet description, the calls of the platform protocol
// and a control API on its own listener, which injects faults (lag, outages, lost
// and repeated responses, reboots, and endpoints whose responses are late, cut,
// duplicated or crossed) and reports the actual state. Tests, the load generator
// and cmd/cyclamen-standin, which serves the demo, start it.
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

// Defaults for Options.
const (
	DefaultRetention  = 10 * time.Minute
	DefaultReboot     = 300 * time.Millisecond
	DefaultDrainLimit = 10 * time.Second
	DefaultListen     = "127.0.0.1:0"
)

const (
	// closeTimeout bounds how long Close waits for running handlers.
	closeTimeout = 2 * time.Second
	// headerTimeout bounds how long a client may take to send its request header.
	headerTimeout = 10 * time.Second
)

// Options configures a Standin. Zero values select the defaults; a zero lag means
// no lag.
type Options struct {
	Fleet FleetSpec
	// Listen and Control are the listen addresses of the platform protocol and of
	// the control API.
	Listen  string
	Control string
	// BasePort is the port of the first worker; 0 picks free ports.
	BasePort   int
	Retention  time.Duration
	Lag        time.Duration
	Reboot     time.Duration
	DrainLimit time.Duration
	ReportLag  time.Duration
	// AppendsPerSecond delays appends above this rate; 0 means no limit.
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

// Standin is a simulated platform with its listeners and workers.
type Standin struct {
	opts    Options
	ctx     context.Context
	cancel  context.CancelFunc
	log     *logStore
	fleet   *fleet
	tasks   *taskStore
	history *history
	faults  *faultSet
	servers []*http.Server
	addrs   []string
}

// New returns a Standin that is not started yet.
func New(opts Options) *Standin {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	tasks := newTaskStore(opts.ReportLag)
	return &Standin{opts: opts, ctx: ctx, cancel: cancel, log: newLogStore(opts.Retention),
		tasks: tasks, fleet: newFleet(ctx, opts, tasks), history: newHistory(), faults: newFaultSet()}
}

// Start boots the fleet and opens the listeners. If it fails, everything it
// opened is closed.
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
	if err := s.fleet.boot(s.opts.Fleet, s.opts.BasePort, s.history); err != nil {
		return err
	}
	if err := s.serve(s.opts.Listen, s.platformRouter()); err != nil {
		return err
	}
	if err := s.serve(s.opts.Control, s.controlRouter()); err != nil {
		return err
	}
	s.opts.Logger.Info("standin started", "platform", s.URL(), "control", s.ControlURL(),
		"instances", len(s.fleet.actualInstances()))
	return nil
}

func (s *Standin) serve(addr string, handler http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return &ListenError{Addr: addr, Cause: err}
	}
	// Requests use the Standin's context, so Close also ends pending long polls.
	// net/http's error log is discarded: it reports connections that injected
	// faults close.
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout,
		BaseContext: func(net.Listener) context.Context { return s.ctx },
		ErrorLog:    log.New(io.Discard, "", 0)}
	s.servers = append(s.servers, srv)
	s.addrs = append(s.addrs, ln.Addr().String())
	go func() { _ = srv.Serve(ln) }()
	return nil
}

// URL returns the base URL of the platform protocol.
func (s *Standin) URL() string { return "http://" + s.addrs[0] }

// ControlURL returns the base URL of the control API.
func (s *Standin) ControlURL() string { return "http://" + s.addrs[1] }

// Close stops all listeners and workers and waits for them to finish.
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
