package tenant

import "time"

// Events of a proxy's Cache. Sent and StartedAt are times of the proxy's own clock at which a call was begun,
// however late its answer.
type (
	// SessionOpened tells of a session that was opened with the cache's Status.
	SessionOpened struct {
		Sent time.Duration
		TTL  time.Duration
	}
	// SessionRenewed tells of a renewal that was answered; Known is false where the session has ended.
	SessionRenewed struct {
		Sent  time.Duration
		Known bool
	}
	// CatalogueRead brings the catalogue as it is now, as far as Wanted asked for it when the read began. It was
	// read after the member record, of which Enrolled reports whether this proxy is in it, in its generation and
	// with its maximal staleness.
	CatalogueRead struct {
		StartedAt time.Duration
		Enrolled  bool
		Snapshot  *Snapshot
	}
	// PeerHasCatalogue tells of a catalogue's number by a peer's metadata.
	PeerHasCatalogue struct{ Number uint64 }
	// PolicyChanged tells of the policy table that the proxy evaluates.
	PolicyChanged struct{ PolicyTable }
	// LeafMissing tells of a request of a leaf that the proxy does not hold, by what X-Tenant says.
	LeafMissing struct{ Name string }
	// RequestStarted tells of a request that is served for a tenant, by the tenant's name in the catalogue.
	RequestStarted struct{ Tenant string }
	// RequestEnded tells of the end of such a request.
	RequestEnded struct{ Tenant string }
	// Tick has the proxy look at its clock; it comes at least each half second.
	Tick struct{}
	// Leave has the proxy serve no tenant any more.
	Leave struct{}
)

// Actions that the owner of a Cache carries out.
type (
	// SwapCatalogue answers requests from another catalogue from now on. It is carried out before
	// a TellStatus that comes with it.
	SwapCatalogue struct{ *Catalogue }
	// TellStatus changes the status in the session's note.
	TellStatus struct{ Status Status }
	// ReadCatalogue reads the member record and then the catalogue, as they are now; one read at a time,
	// and another after it where it was asked for in between.
	ReadCatalogue struct{}
	// CutRequests ends requests in flight of a tenant.
	CutRequests struct{ Tenant string }
)
