package tenant

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Word is what a node's session tells the conductor of it: the note of the session.
type Word struct {
	Life     uint64
	Prepared uint64        // the number of the catalogue that it has taken up, with all that its forms need
	Ended    uint64        // nothing is open of what began to drain up to this number
	Hold     time.Duration // it serves no tenant after so long without word; 0: it serves on
	Left     bool          // it serves nothing any more, and nothing is open
}

// Note is the word's form in a session. Other words may stand beside it.
func (w Word) Note() string {
	s := fmt.Sprintf("life=%d catalogue=%d ended=%d hold_ms=%d", w.Life, w.Prepared, w.Ended, w.Hold.Milliseconds())
	if w.Left {
		s += " left=1"
	}
	return s
}

// ParseWord finds a node's word in a session's note; ok is false where there is none.
// What it does not know it passes over.
func ParseWord(note string) (w Word, ok bool) {
	for field := range strings.FieldsSeq(note) {
		key, value, _ := strings.Cut(field, "=")
		n, err := strconv.ParseUint(value, 10, 63)
		if err != nil {
			continue
		}
		switch key {
		case "life":
			w.Life = n
		case "catalogue":
			w.Prepared, ok = n, true
		case "ended":
			w.Ended = n
		case "hold_ms":
			w.Hold = time.Duration(min(n, uint64(maxHold.Milliseconds()))) * time.Millisecond
		case "left":
			w.Left = n == 1
		}
	}
	return w, ok && w.Life > 0
}

const maxHold = 24 * time.Hour // of a word that is read; the longer counts as this, also at the node

// Times that the conductor and the nodes count on different clocks. Two clocks' rates
// differ by at most 1 in 1,000. A node's right to a definite no ends a five hundredth
// of the TTL early, and the conductor waits a four hundredth longer than the node: each
// is more than the two rates' difference.
func early(d time.Duration) time.Duration { return d - d/500 }

func late(d time.Duration) time.Duration { return d + d/400 }
