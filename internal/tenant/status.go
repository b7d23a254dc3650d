package tenant

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Status is what a proxy's session tells the controller of it: the note of the session.
type Status struct {
	Generation  uint64
	Prepared    uint64 // the number of the catalogue that it has taken up, with all that its specs need
	DrainedUpTo uint64 // nothing is open of what began to drain up to this number
	// it serves no tenant after so long without contact with the registry; 0: it serves on
	MaxStaleness time.Duration
	Left         bool // it serves nothing any more, and nothing is open
}

// Encode is the text form of the status in a session's note. Other words of the note may stand beside it.
func (w Status) Encode() string {
	s := fmt.Sprintf(
		"life=%d catalogue=%d ended=%d hold_ms=%d",
		w.Generation,
		w.Prepared,
		w.DrainedUpTo,
		w.MaxStaleness.Milliseconds(),
	)
	if w.Left {
		s += " left=1"
	}
	return s
}

// ParseStatus finds a proxy's status in a session's note; ok is false where there is none. What it does not
// know it passes over.
func ParseStatus(note string) (w Status, ok bool) {
	for field := range strings.FieldsSeq(note) {
		key, value, _ := strings.Cut(field, "=")
		n, err := strconv.ParseUint(value, 10, 63)
		if err != nil {
			continue
		}
		switch key {
		case "life":
			w.Generation = n
		case "catalogue":
			w.Prepared, ok = n, true
		case "ended":
			w.DrainedUpTo = n
		case "hold_ms":
			w.MaxStaleness = time.Duration(min(n, uint64(maxMaxStaleness.Milliseconds()))) * time.Millisecond
		case "left":
			w.Left = n == 1
		}
	}
	return w, ok && w.Generation > 0
}

// of a status that is read; the longer counts as this, also at the proxy
const maxMaxStaleness = 24 * time.Hour

// Times that the controller and the proxies count on different clocks. Two clocks' rates differ by at most 1
// in 1,000. A proxy's authority for a definite no ends a five hundredth of the TTL early, and the controller
// waits a four hundredth longer than the proxy: each is more than the two rates' difference.
func shortened(d time.Duration) time.Duration { return d - d/500 }

func lengthened(d time.Duration) time.Duration { return d + d/400 }
