package tenant

import "time"

// What happens at a proxy. Sent and Began are times of the proxy's own clock at which a
// call was begun, however late its answer.
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
	// CatalogueRead brings the catalogue as it is now, as far as Want said when the read began, read after the
	// MemberRead brings the member record: whether this proxy is in it, in its generation and with its maximal
	// staleness.
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
	// RequestStarted and Over tell of a request that was served for a tenant, by its name in the catalogue.
	RequestStarted struct{ Tenant string }
	RequestEnded   struct{ Tenant string }
	// Tick has the proxy look at its clock; it comes at least each half second.
	Tick struct{}
	// Leave has it serve no tenant any more.
	Leave struct{}
)

// What a proxy's shell is to do.
type (
	// SwapCatalogue answers requests from another catalogue from now on. It is carried out before
	// a Tell that comes with it.
	SwapCatalogue struct{ *Catalogue }
	// TellStatus changes the word of the session.
	TellStatus struct{ Status Status }
	// ReadCatalogue reads the member record and then the catalogue, as they are now; one read at a time,
	// and another after it where it was asked for in between.
	ReadCatalogue struct{}
	// CutRequests ends requests in flight of a tenant.
	CutRequests struct{ Tenant string }
)
