// Command cyclamen-control follows the log and contends for the planner lease;
// the holder plans moves, maintenance and job placement.
package main

import (
	"os"

	"cyclamenwheel/internal/daemon"
)

func main() {
	os.Exit(daemon.ControlMain(os.Args[1:]))
}
