package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/entry"
	"cyclamenwheel/internal/idempotency"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/settings"
	"cyclamenwheel/internal/shutdown"
)

const (
	// readHeaderTimeout closes connections of callers that send no request.
	readHeaderTimeout = 10 * time.Second
	// callerIdleTimeout exceeds the usual idle timeout of balancers (60 s), so
	// that the balancer closes an idle connection, and never this process while
	// a request is in transit.
	callerIdleTimeout = 75 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
)

// EntryMain runs cyclamen-entry and returns its exit code.
func EntryMain(args []string) int {
	f := parseFlags("cyclamen-entry", "takes callers' requests and sends them to endpoints", args)
	s, err := settings.LoadEntry(f.file)
	if code, done := f.handleExit(settings.EntryTable(), err); done {
		return code
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	d, err := New(s.Common, membership.Member{
		Role: membership.RoleEntry, CallerAddr: s.Callers.Listen.String(),
	})
	if err != nil {
		os.Stderr.WriteString(err.Error() + "\n")
		return exitFailure
	}
	return runEntry(stop, d, s)
}

func runEntry(stop context.Context, d *Daemon, s settings.EntrySettings) int {
	e := entry.New(d.Node, d.Log)
	keys, claims := newIdempotencyService(d, s)
	defer claims.Close()
	handler := dispatch.NewHandler(dispatch.Options{
		Routes: e.Routes, Current: d.Node.ListCurrent, Claims: claims, Zone: s.Process.Zone, Log: d.Log,
		MaxBody: s.Callers.MaxBody, Metrics: newCallerMetrics(),
	})
	e.Attach(handler, keys, d.Node.NotReady)
	d.Operator.RegisterDump("entry", e.Dump(d.Node.Do))
	d.Operator.RegisterDump("keys", func() any { return claims.Status() })
	listener, err := d.Clients.Listen(s.Callers.Listen.String())
	if err != nil {
		d.Log.Error("cannot listen on the callers' address", "error", err.Error())
		return exitFailure
	}
	if err := d.Start(e); err != nil {
		d.Log.Error("cannot start", "error", err.Error())
		return exitFailure
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(d.Log.Handler(), slog.LevelWarn),
	}
	d.Clients.Protect(server)
	go func() { _ = server.Serve(listener) }()
	d.Log.Info("started", "callers", listener.Addr().String(), "operator", d.Operator.Addr().String())
	<-stop.Done()
	return stopEntry(d, s, server, handler, claims)
}

// stopEntry shuts down in an order that loses no request: the balancer stops
// sending, connections close after their answers, requests in flight end, and
// only then are the idempotency keys handed over and the membership ended.
func stopEntry(d *Daemon, s settings.EntrySettings, server *http.Server, handler *dispatch.Handler,
	claims *idempotency.Service) int {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timing.ShutdownLimit)
	defer cancel()
	err := shutdown.Run(ctx, d.Log, []shutdown.Step{
		{Name: "announce", Limit: lastStepLimit, Run: func(context.Context) error {
			d.Node.MarkNotReady()
			handler.AnnounceClose()
			return nil
		}},
		shutdown.Wait("balancer", s.Timing.ReadyGrace),
		{Name: "finish requests", Limit: s.Timing.DrainLimit, Run: func(ctx context.Context) error {
			server.SetKeepAlivesEnabled(false)
			incomplete := time.AfterFunc(s.Timing.DrainLimit/2, d.Clients.CloseIncomplete)
			defer incomplete.Stop()
			if err := server.Shutdown(ctx); err != nil {
				return err
			}
			return handler.Drain(ctx)
		}},
		{Name: "hand keys over", Limit: lastStepLimit, Run: claims.Drain},
		{Name: "leave members", Limit: lastStepLimit, Run: d.Node.Leave},
	})
	d.Close()
	if err != nil {
		return exitFailure
	}
	return exitOK
}
