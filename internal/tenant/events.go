package tenant

import "time"

// Events of a proxy's Cache. Sent and StartedAt are the times, by the proxy's own clock, at which a call
// began, regardless of when its response came.
type (
	// SessionOpened reports that a session was opened with the cache's Status.
	SessionOpened struct {
		Sent time.Duration
		TTL  time.Duration
	}
	// SessionRenewed reports the response to a renewal. Known is false if the session has ended.
	SessionRenewed struct {
		Sent  time.Duration
		Known bool
	}
	// CatalogueRead has the leaves of the current catalogue that Wanted returned when the read began. The
	// catalogue was read after the member record; Enrolled reports whether the member record has this proxy with
	// its generation and maximal staleness. Snapshot is nil if there is no catalogue yet.
	CatalogueRead struct {
		StartedAt time.Duration
		Enrolled  bool
		Snapshot  *Snapshot
	}
	// PeerHasCatalogue reports the number of a peer's catalogue, from the peer's metadata.
	PeerHasCatalogue struct{ Number uint64 }
	// PolicyChanged reports the policy table that the proxy evaluates from now on.
	PolicyChanged struct{ PolicyTable }
	// LeafMissing reports a request that needs a leaf that is not cached. Name is the name in X-Tenant.
	LeafMissing struct{ Name string }
	// RequestStarted reports a request that is served for a tenant, by the tenant's name in the catalogue.
	RequestStarted struct{ Tenant string }
	// RequestEnded reports the end of a request that RequestStarted reported.
	RequestEnded struct{ Tenant string }
	// Tick makes the cache check its time limits. It comes at least each half second.
	Tick struct{}
	// Leave makes the proxy stop serving tenants for good.
	Leave struct{}
)

// Actions that the owner of a Cache carries out.
type (
	// SwapCatalogue replaces the catalogue by which requests are decided. It must be carried out before a
	// ReportStatus that is returned with it.
	SwapCatalogue struct{ *Catalogue }
	// ReportStatus replaces the status in the session's note.
	ReportStatus struct{ Status Status }
	// ReadCatalogue reads the current member record and then the current catalogue. Only one read runs at a
	// time; if the action is returned during a read, another read follows.
	ReadCatalogue struct{}
	// CutRequests ends all requests in flight of a tenant.
	CutRequests struct{ Tenant string }
)
