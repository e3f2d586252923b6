// Command cyclamen-measure runs a suite of measurements and prints markdown
// tables.
package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
)

// suites are the measurements by name. Each file of this command adds its own
// in init.
var suites = map[string]func(io.Writer) error{}

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	if len(os.Args) != 2 || suites[os.Args[1]] == nil {
		names := strings.Join(slices.Sorted(maps.Keys(suites)), "|")
		fmt.Fprintf(os.Stderr, "usage: cyclamen-measure %s\n", names)
		os.Exit(exitUsage)
	}
	if err := suites[os.Args[1]](os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}
