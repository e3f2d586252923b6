// Command cyclamen-measure runs a benchmark suite, named by its only argument,
// and prints the results as markdown tables.
package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
)

// suites maps names to benchmark suites. The other files of this command
// register theirs in init.
var suites = map[string]func(io.Writer) error{}

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
