package tenant

import "time"

// What happens at a node. Sent and Began are times of the node's own clock at which a
// call was begun, however late its answer.
type (
	// Opened tells of a session that was opened with the desk's Word.
	Opened struct {
		Sent time.Duration
		TTL  time.Duration
	}
	// Renewed tells of a renewal that was answered; Known is false where the session has ended.
	Renewed struct {
		Sent  time.Duration
		Known bool
	}
	// Read brings the catalogue as it is now, as far as Want said when the read began, read after the book said what Enrolled tells:
	// whether this node is in it, in its life and with its hold.
	Read struct {
		Began    time.Duration
		Enrolled bool
		Image    *Image
	}
	// Heard tells of a catalogue's number by a peer's facts.
	Heard struct{ Number uint64 }
	// Tables tells of the policy table that the node evaluates.
	Tables struct{ Table }
	// Asked tells of a request of a part that the node does not hold, by what X-Tenant says.
	Asked struct{ Name string }
	// Begun and Over tell of a request that was served for a tenant, by its name in the catalogue.
	Begun struct{ Tenant string }
	Over  struct{ Tenant string }
	// Tick has the node look at its clock; it comes at least each half second.
	Tick struct{}
	// Leave has it serve no tenant any more.
	Leave struct{}
)

// What a node's shell is to do.
type (
	// Swap answers requests from another catalogue from now on. It is carried out before
	// a Tell that comes with it.
	Swap struct{ *Catalogue }
	// Tell changes the word of the session.
	Tell struct{ Word Word }
	// Fetch reads the book and then the catalogue, as they are now; one read at a time,
	// and another after it where it was asked for in between.
	Fetch struct{}
	// Cut ends what is open of a tenant.
	Cut struct{ Tenant string }
)
