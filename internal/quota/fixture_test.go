package quota

import (
	"fmt"
	"testing"

	"wrenspread/internal/fixture"
)

// TestDatagramsAreUnchanged compares the bytes of each kind of datagram, and the status' form, with golden files.
func TestDatagramsAreUnchanged(t *testing.T) {
	const fleet = 0x01020304
	held := size{rate: 5.5, burst: 6.5}
	c := claim{fence: 1, life: 2, number: 3, echo: 4, table: 5, void: true, name: "node-a",
		items: []claimItem{{hash: 6, demand: 7.5, held: held, number: 8}}}
	g := grant{fence: 1, life: 2, claim: 3, number: 4, seat: Seat{Name: "node-a", Level: 5, Index: 6}, void: true, waits: true, open: true,
		items: []grantItem{{hash: 7, size: held, tokens: 8.5, kept: true}}}
	h := hello{fence: 1, name: "holder"}
	l := leave{life: 1, name: "node-a"}
	a := ask{nonce: 1, hash: 2, need: 3.5, name: "node-a"}
	v := give{nonce: 1, hash: 2, amount: 3.5}
	text := fmt.Sprintf("claim %x\ngrant %x\nhello %x\nleave %x\nask %x\ngive %x\n",
		c.bytes(fleet), g.bytes(fleet), h.bytes(fleet), l.bytes(fleet), a.bytes(fleet), v.bytes(fleet))
	fixture.Assert(t, "datagrams", []byte(text))
	fixture.AssertJSON(t, "status", &Status{})
	fixture.AssertJSON(t, "seat", &Seat{})
}
