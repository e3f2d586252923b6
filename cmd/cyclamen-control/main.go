// Command cyclamen-control follows the fleet log and competes for the planner
// lease; the lease holder plans moves, maintenance and job placement. Package
// daemon implements it.
package main

import (
	"os"

	"cyclamenwheel/internal/daemon"
)

func main() {
	os.Exit(daemon.ControlMain(os.Args[1:]))
}
