// Command cyclamen-standin simulates a small platform with the endpoints of its
// workers, from a fleet description, for tests and the demo. Its load subcommand
// generates callers' requests to entries and checks the results.
package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"cyclamenwheel/internal/standin"
	"cyclamenwheel/internal/standin/load"
)

// Exit codes.
const (
	exitFailure = 1
	// exitCheckFailed reports that the check of the load's results failed, for
	// example because requests were lost, executed twice or answered wrongly.
	exitCheckFailed = 3
)

type options struct {
	fleetFile    string
	standin      standin.Options
	load         load.Options
	loadSelected bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	cfg := parseFlags()
	if cfg.loadSelected {
		os.Exit(runLoad(ctx, cfg.load, logger))
	}
	cfg.standin.Logger = logger
	os.Exit(serve(ctx, cfg, logger))
}

func parseFlags() *options {
	cfg := &options{standin: standin.Options{Listen: "127.0.0.1:8500", Control: "127.0.0.1:8501",
		Retention: standin.DefaultRetention, Reboot: standin.DefaultReboot,
		DrainLimit: standin.DefaultDrainLimit, Lag: 500 * time.Millisecond, ReportLag: time.Second}}
	flaggy.SetName("cyclamen-standin")
	flaggy.SetDescription("a small platform for tests and the demo")
	o := &cfg.standin
	flaggy.String(&cfg.fleetFile, "f", "fleet", "fleet description (JSON)")
	flaggy.String(&o.Listen, "l", "listen", "address of the platform's protocol")
	flaggy.String(&o.Control, "c", "control", "address of the control API")
	flaggy.Int(&o.BasePort, "", "base-port", "first worker's port, 0 for free ones")
	flaggy.Duration(&o.Retention, "", "retention", "how long the log keeps records")
	flaggy.Duration(&o.Reboot, "", "reboot", "how long a reboot takes")
	flaggy.Duration(&o.DrainLimit, "", "drain-limit", "longest wait for requests in flight before a reboot")
	flaggy.Duration(&o.Lag, "", "lag", "lag of the instance list")
	flaggy.Duration(&o.ReportLag, "", "report-lag", "lag of task reports")
	flaggy.Int(&o.AppendsPerSecond, "", "appends-per-second", "most appends a second, 0 for no limit")
	sub := loadCommand(&cfg.load)
	flaggy.AttachSubcommand(sub, 1)
	flaggy.Parse()
	cfg.loadSelected = sub.Used
	cfg.load.Entries = splitCommas(cfg.load.Entries)
	cfg.load.Services = splitCommas(cfg.load.Services)
	return cfg
}

// splitCommas splits comma-separated values, because flaggy only collects
// repeated flags.
func splitCommas(values []string) []string {
	var out []string
	for _, v := range values {
		out = append(out, strings.Split(v, ",")...)
	}
	return out
}

func loadCommand(o *load.Options) *flaggy.Subcommand {
	*o = load.Options{Concurrency: load.DefaultConcurrency, Timeout: load.DefaultTimeout, PostShare: 0.5, Seed: 1}
	sub := flaggy.NewSubcommand("load")
	sub.Description = "send callers' requests at entries and check them against the history"
	sub.StringSlice(&o.Entries, "e", "entry", "base URL of an entry (repeatable, or comma separated)")
	sub.StringSlice(&o.Services, "s", "service", "service to call (repeatable, or comma separated)")
	sub.Float64(&o.Rate, "r", "rate", "requests a second, 0 for as fast as concurrency allows")
	sub.Int(&o.Concurrency, "", "concurrency", "most requests under way")
	sub.Int(&o.Count, "n", "count", "requests to send")
	sub.Duration(&o.Duration, "d", "duration", "how long to send")
	sub.Float64(&o.PostShare, "", "post-share", "part of requests that are keyed POSTs")
	sub.Float64(&o.RepeatShare, "", "repeat-share", "part of POSTs sent twice under one key")
	sub.Int64(&o.WorkMillis, "w", "work-ms", "service time asked of endpoints")
	sub.Duration(&o.Timeout, "t", "timeout", "how long a caller waits")
	sub.String(&o.ControlURL, "", "control-url", "control API of the stand-in, to check the outcomes")
	sub.UInt64(&o.Seed, "", "seed", "seed of the mix")
	return sub
}

func serve(ctx context.Context, cfg *options, logger *slog.Logger) int {
	spec, err := standin.ReadFleet(cfg.fleetFile)
	if err != nil {
		logger.Error("cannot read the fleet description", "file", cfg.fleetFile, "error", err.Error())
		return exitFailure
	}
	cfg.standin.Fleet = spec
	s := standin.New(cfg.standin)
	if err := s.Start(); err != nil {
		logger.Error("cannot start the simulated platform", "error", err.Error())
		return exitFailure
	}
	<-ctx.Done()
	s.Close()
	logger.Info("standin stopped")
	return 0
}

func runLoad(ctx context.Context, opts load.Options, logger *slog.Logger) int {
	sum, err := load.Run(ctx, opts)
	if err != nil {
		logger.Error("load failed", "error", err.Error())
		return exitFailure
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(sum); err != nil {
		logger.Error("cannot write the summary", "error", err.Error())
		return exitFailure
	}
	if !sum.OK() {
		return exitCheckFailed
	}
	return 0
}
