// Package pause implements a sleep that ends early if a context is cancelled.
// Background loops call it between retries and polls.
package pause

import (
	"context"
	"time"
)

// For waits until d has passed or ctx is done.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
