package tenant

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Status is the part of a proxy's state that the proxy reports to the controller in its session's note.
type Status struct {
	Generation  uint64
	Prepared    uint64 // number of the last catalogue that the proxy applies and has all needed limits for
	DrainedUpTo uint64 // no requests are in flight of tenants whose drain began up to this catalogue number
	// MaxStaleness is the time after which the proxy serves no tenant if it has no contact with the registry; 0:
	// it serves without limit.
	MaxStaleness time.Duration
	Left         bool // the proxy has stopped serving tenants and has no requests in flight
}

// Encode returns the text form of the status in a session's note. The note may contain other fields.
func (s Status) Encode() string {
	text := fmt.Sprintf(
		"life=%d catalogue=%d ended=%d hold_ms=%d",
		s.Generation,
		s.Prepared,
		s.DrainedUpTo,
		s.MaxStaleness.Milliseconds(),
	)
	if s.Left {
		text += " left=1"
	}
	return text
}

// ParseStatus returns a proxy's status from a session's note; ok is false if the note has none. Unknown
// fields are ignored.
func ParseStatus(note string) (status Status, ok bool) {
	for field := range strings.FieldsSeq(note) {
		key, value, _ := strings.Cut(field, "=")
		n, err := strconv.ParseUint(value, 10, 63)
		if err != nil {
			continue
		}
		switch key {
		case "life":
			status.Generation = n
		case "catalogue":
			status.Prepared, ok = n, true
		case "ended":
			status.DrainedUpTo = n
		case "hold_ms":
			status.MaxStaleness = time.Duration(min(n, uint64(maxStalenessLimit.Milliseconds()))) * time.Millisecond
		case "left":
			status.Left = n == 1
		}
	}
	return status, ok && status.Generation > 0
}

// maxStalenessLimit bounds MaxStaleness. A larger value counts as this one, both for the controller and at
// the proxy.
const maxStalenessLimit = 24 * time.Hour

// The functions below adjust times that the controller and the proxies measure on different clocks, whose
// rates differ by at most 1 in 1,000. A proxy's authority ends 1/500 of the TTL early, and the controller
// waits 1/400 longer than the proxy. Both margins are larger than the difference of the rates.

// shortened returns a time less the margin of a proxy.
func shortened(d time.Duration) time.Duration { return d - d/500 }

// lengthened returns a time plus the margin of the controller.
func lengthened(d time.Duration) time.Duration { return d + d/400 }
