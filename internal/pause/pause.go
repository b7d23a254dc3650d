// Package pause waits for a time or the end of a context, whichever is first.
package pause

import (
	"context"
	"time"
)

// For waits for d, not at all if it is not above 0. It is false where ctx has ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
