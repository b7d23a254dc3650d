package quota

import (
	"fmt"
	"testing"

	"wrenspread/internal/fixture"
)

// TestDatagramAndStatusEncodingsAreUnchanged compares the bytes of each kind of datagram, and the JSON of
// Status and Slot, with golden files.
func TestDatagramAndStatusEncodingsAreUnchanged(t *testing.T) {
	const fleet = 0x01020304
	leased := shareSize{rate: 5.5, burst: 6.5}
	claim := claimMessage{token: 1, generation: 2, number: 3, lastGrant: 4, tableVersion: 5, fallbackSuspendable: true, name: "node-a",
		items: []claimItem{{hash: 6, demand: 7.5, leased: leased, grantNumber: 8}}}
	grant := grantMessage{token: 1, generation: 2, claimNumber: 3, number: 4, slot: Slot{Name: "node-a", Level: 5, Index: 6}, fallbackSuspended: true, extendsOnly: true, slotCoversConcurrency: true,
		items: []grantItem{{hash: 7, size: leased, tokens: 8.5, fallbackAtOnce: true}}}
	announcement := announcementMessage{token: 1, name: "holder"}
	leave := leaveMessage{generation: 1, name: "node-a"}
	borrow := borrowMessage{nonce: 1, hash: 2, amount: 3.5, name: "node-a"}
	loan := loanMessage{nonce: 1, hash: 2, amount: 3.5}
	text := fmt.Sprintf("claim %x\ngrant %x\nhello %x\nleave %x\nask %x\ngive %x\n",
		claim.encode(fleet), grant.encode(fleet), announcement.encode(fleet), leave.encode(fleet), borrow.encode(fleet), loan.encode(fleet))
	fixture.Assert(t, "datagrams", []byte(text))
	fixture.AssertJSON(t, "status", &Status{})
	fixture.AssertJSON(t, "seat", &Slot{})
}
