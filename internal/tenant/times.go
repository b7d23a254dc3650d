package tenant

import (
	"time"
)

// Times of a controller's waits. docs/tenants.md has what ends each.
type Times struct {
	Prepare time.Duration // from an order's taking: proxies that have not prepared it by then have it taken back
	// of 503 for what differs; after it the previous spec is served again, and it is prepared anew
	Switch    time.Duration
	Tombstone time.Duration // names of one that is gone, or was refused, stay on record so long
}

// DefaultTimes are those of a controller without other settings. Switch is ten times what a proxy needs to
// hear of a catalogue when it polls each half second.
func DefaultTimes() Times {
	return Times{Prepare: 30 * time.Second, Switch: 5 * time.Second, Tombstone: 10 * time.Minute}
}
