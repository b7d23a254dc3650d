package balancer

import (
	"fmt"
	"testing"

	"wrenspread/internal/fixture"
)

// The learned state that a process hands to the next one, and the messages between proxies, must keep their
// encoding, as processes of different versions exchange them.
func TestLearnedStateAndLoadMessageEncodingsAreUnchanged(t *testing.T) {
	fixture.AssertJSON(t, "learned", &LearnedState{})
	fixture.Assert(t, "loadmessage", fmt.Appendf(nil, "%x\n%x\n", encodeLoadMessage(7, 2.5, 0), encodeLoadMessage(7, 2.5, 0.05)))
}
