// Command cyclamen-node runs one node on the users' platform. The node serves
// callers and owns the pools assigned to it among the group of nodes. It reads
// its settings from the file named by an environment variable.
package main

import "C"

import (
	"fmt"
	"os"

	"cyclamenwheel/internal/host"
	"cyclamenwheel/internal/settings"
)

// settingsPathEnv names the environment variable with the path of the settings
// file.
const settingsPathEnv = "CYCLAMENWHEEL_NODE_FILE"

func main() {
	path := os.Getenv(settingsPathEnv)
	set, err := settings.LoadNode(path)
	if err == nil {
		err = host.Run(set, path)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
