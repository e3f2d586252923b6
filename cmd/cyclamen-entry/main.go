// Command cyclamen-entry receives callers' requests and forwards them to
// endpoints. Package daemon implements it.
package main

import (
	"os"

	"cyclamenwheel/internal/daemon"
)

func main() {
	os.Exit(daemon.EntryMain(os.Args[1:]))
}
