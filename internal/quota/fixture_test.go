package quota

import (
	"fmt"
	"testing"

	"wrenspread/internal/fixture"
)

// TestDatagramsAreUnchanged compares the bytes of each kind of datagram, and the status' form, with golden
// files.
func TestDatagramsAreUnchanged(t *testing.T) {
	const fleet = 0x01020304
	held := shareSize{rate: 5.5, burst: 6.5}
	c := claimMessage{token: 1, generation: 2, number: 3, lastGrant: 4, table: 5, fallbackSuspendable: true, name: "node-a",
		items: []claimItem{{hash: 6, demand: 7.5, leased: held, grantNumber: 8}}}
	g := grantMessage{token: 1, generation: 2, claimNumber: 3, number: 4, slot: Slot{Name: "node-a", Level: 5, Index: 6}, fallbackSuspended: true, extendsOnly: true, slotCoversConcurrency: true,
		items: []grantItem{{hash: 7, size: held, tokens: 8.5, fallbackAtOnce: true}}}
	h := announcementMessage{token: 1, name: "holder"}
	l := leaveMessage{generation: 1, name: "node-a"}
	a := borrowMessage{nonce: 1, hash: 2, amount: 3.5, name: "node-a"}
	v := loanMessage{nonce: 1, hash: 2, amount: 3.5}
	text := fmt.Sprintf("claim %x\ngrant %x\nhello %x\nleave %x\nask %x\ngive %x\n",
		c.encode(fleet), g.encode(fleet), h.encode(fleet), l.encode(fleet), a.encode(fleet), v.encode(fleet))
	fixture.Assert(t, "datagrams", []byte(text))
	fixture.AssertJSON(t, "status", &Status{})
	fixture.AssertJSON(t, "seat", &Slot{})
}
