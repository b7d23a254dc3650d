package tenant

import (
	"time"
)

// Times are the limits of a controller's waits. docs/tenants.md describes what ends each wait.
type Times struct {
	// Prepare is the time that proxies have to prepare an order after a controller has taken it. Then the order
	// is reverted.
	Prepare time.Duration
	// Switch is the longest time for which proxies answer 503 for requests on which the current and the next
	// spec differ. Then proxies serve by the current spec again, and prepare the next spec again.
	Switch    time.Duration
	Tombstone time.Duration // time for which the record of a removed or rejected tenant is retained
}

// DefaultTimes returns the times of a controller without other settings. Switch is ten times the time in
// which a proxy that polls each half second learns of a catalogue.
func DefaultTimes() Times {
	return Times{Prepare: 30 * time.Second, Switch: 5 * time.Second, Tombstone: 10 * time.Minute}
}
