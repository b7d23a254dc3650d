package balancer

// The wire form of what nodes tell each other of a server. Nothing is decided here. The interface is in api.go.

import (
	"encoding/binary"
	"math"
)

const (
	noteLoad   = 1     // first byte of a note: the work that its sender has out at a server
	noteBytes  = 6     // its length: kind, server, load; one more at an attempt's end, for its latency
	noteFinest = 0.001 // s; the least latency that a note tells
	noteSteps  = 16.0  // in which it tells a doubling of that
	noteScale  = 8.0   // a note's load is in eighths of a mean request
)

// note is what another node has said that it has out at a server, in mean requests.
type note struct {
	from int
	load float64
	at   Time
}

// encodeNote gives the bytes that tell a load, in mean requests, and a latency in seconds. 0: none is told.
func encodeNote(id ServerID, load, latency float64) []byte {
	data := binary.BigEndian.AppendUint32([]byte{noteLoad}, uint32(id))
	data = append(data, byte(math.Min(255, math.Round(noteScale*load))))
	if latency > 0 {
		steps := noteSteps * math.Log2(latency/noteFinest)
		data = append(data, byte(math.Min(255, math.Max(0, math.Round(steps)))))
	}
	return data
}

// decodeNote reads them. Bytes of another kind or length are not ok.
func decodeNote(data []byte) (id ServerID, load, latency float64, ok bool) {
	if len(data) < noteBytes || len(data) > noteBytes+1 || data[0] != noteLoad {
		return 0, 0, 0, false
	}
	if len(data) > noteBytes {
		latency = noteFinest * math.Exp2(float64(data[noteBytes])/noteSteps)
	}
	return ServerID(binary.BigEndian.Uint32(data[1:])), float64(data[5]) / noteScale, latency, true
}

// heardOf keeps a note in the place of the one before it from the same node.
func (s *server) heardOf(t note) {
	for i := range s.notes {
		if s.notes[i].from == t.from {
			s.notes[i] = t
			return
		}
	}
	s.notes = append(s.notes, t)
}
