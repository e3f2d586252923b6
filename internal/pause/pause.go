// Package pause waits without outlasting a context.
package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx ends.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
