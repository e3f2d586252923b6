package daemon

import (
	"context"
	"log/slog"
	"net"
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
	// readHeaderTimeout frees connections of callers that send nothing.
	readHeaderTimeout = 10 * time.Second
	// callerIdleTimeout is above the usual idle timeout of balancers (60 s), so
	// that it is the balancer that closes an idle connection and never we
	// while a request is on its way.
	callerIdleTimeout = 75 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 64 << 10
)

// EntryMain runs cyclamen-entry and returns its exit code.
func EntryMain(args []string) int {
	f := parseFlags("cyclamen-entry", "takes callers' requests and sends them to endpoints", args)
	s, err := settings.LoadEntry(f.file)
	if code, done := f.settle(settings.EntryTable(), err); done {
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
	keys, claims := newKeys(d, s)
	defer claims.Close()
	handler := dispatch.NewHandler(dispatch.Options{
		Routes: e.Routes, Current: d.Node.ListCurrent, Claims: claims, Zone: s.Process.Zone, Log: d.Log,
		MaxBody: s.Callers.MaxBody, Metrics: callerMetrics(),
	})
	e.Attach(handler, keys, d.Node.NotReady)
	d.Operator.RegisterDump("entry", e.Dump(d.Node.Do))
	d.Operator.RegisterDump("keys", func() any { return claims.Status() })
	listener, err := net.Listen("tcp", s.Callers.Listen.String())
	if err != nil {
		d.Log.Error("callers' port", "error", err.Error())
		return exitFailure
	}
	if err := d.Start(e); err != nil {
		d.Log.Error("not started", "error", err.Error())
		return exitFailure
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(d.Log.Handler(), slog.LevelWarn),
	}
	go func() { _ = server.Serve(listener) }()
	d.Log.Info("started", "callers", listener.Addr().String(), "operator", d.Operator.Addr().String())
	<-stop.Done()
	return stopEntry(d, s, server, handler, claims)
}

// stopEntry leaves in the order that loses nothing: the balancer first stops
// sending, then connections close after their answer, then what is in flight
// ends, and only then do handovers stop waiting for this entry.
func stopEntry(d *Daemon, s settings.EntrySettings, server *http.Server, handler *dispatch.Handler,
	claims *idempotency.Service) int {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timing.ShutdownLimit)
	defer cancel()
	err := shutdown.Run(ctx, d.Log, []shutdown.Step{
		{Name: "announce", Limit: logLimit, Run: func(context.Context) error {
			d.Node.MarkNotReady()
			handler.AnnounceClose()
			return nil
		}},
		shutdown.Wait("balancer", s.Timing.ReadyGrace),
		{Name: "finish requests", Limit: s.Timing.DrainLimit, Run: func(ctx context.Context) error {
			server.SetKeepAlivesEnabled(false)
			if err := server.Shutdown(ctx); err != nil {
				return err
			}
			return handler.Drain(ctx)
		}},
		{Name: "hand keys over", Limit: logLimit, Run: claims.Drain},
		{Name: "leave members", Limit: logLimit, Run: d.Node.Leave},
	})
	d.Close()
	if err != nil {
		return exitFailure
	}
	return exitOK
}
