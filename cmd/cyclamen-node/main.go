// Command cyclamen-node runs one node of the system on the users' platform: it
// answers callers and owns the pools that the group gives it.
package main

import "C"

import (
	"fmt"
	"os"

	"cyclamenwheel/internal/host"
	"cyclamenwheel/internal/settings"
)

// settingsVariable names the variable that holds the path of the settings.
const settingsVariable = "CYCLAMENWHEEL_NODE_FILE"

func main() {
	path := os.Getenv(settingsVariable)
	set, err := settings.LoadNode(path)
	if err == nil {
		err = host.Run(set, path)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
