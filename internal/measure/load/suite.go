package load

import (
	"fmt"
	"io"
	"runtime"

	"github.com/cockroachdb/errors"
)

// Suite runs every measurement and writes markdown tables.
func Suite(w io.Writer) error {
	_, err := fmt.Fprintf(w, "Machine: %d cores, %s, %s/%s.\n\n", runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
	if err != nil {
		return errors.Wrap(err, "write")
	}
	for _, measure := range []func(io.Writer) error{
		Saturation, RefusalTimes, Burst, Greedy, SlowEndpoint, Loss, Sharing, Loopback,
	} {
		if err := measure(w); err != nil {
			return err
		}
	}
	return nil
}
