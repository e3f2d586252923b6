// Command cyclamen-entry takes callers' requests and sends them to endpoints.
package main

import (
	"os"

	"cyclamenwheel/internal/daemon"
)

func main() {
	os.Exit(daemon.EntryMain(os.Args[1:]))
}
