// Command cyclamenctl is the operators' command line tool. It publishes
// manifests, inspects the processes of a deployment, and issues certificates.
// Package ctl implements its commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cyclamenwheel/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctx, os.Args[1:], ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
