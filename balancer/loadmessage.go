package balancer

import (
	"encoding/binary"
	"math"
)

// The form of a message between proxies: kind, endpoint ID (32 bits, big-endian), load and, at an attempt's
// end, latency.
const (
	loadMessageKind  = 1
	loadMessageSize  = 6     // bytes without the latency, which is one more
	loadSteps        = 8.0   // load is sent in steps of 1/8 of a mean request
	minGossipLatency = 0.001 // s, the lowest latency that is sent
	latencySteps     = 16.0  // in which a doubling of it is sent
)

// peerLoad is what another proxy has said that it has in flight at an endpoint.
type peerLoad struct {
	proxy int
	work  float64 // mean requests
	at    Time
}

// encodeLoadMessage encodes the work in flight, in mean requests, and a latency in seconds, 0 for none.
func encodeLoadMessage(id EndpointID, work, latency float64) []byte {
	data := binary.BigEndian.AppendUint32([]byte{loadMessageKind}, uint32(id))
	data = append(data, byte(math.Min(math.MaxUint8, math.Round(loadSteps*work))))
	if latency > 0 {
		steps := math.Round(latencySteps * math.Log2(latency/minGossipLatency))
		data = append(data, byte(math.Min(math.MaxUint8, math.Max(0, steps))))
	}
	return data
}

// decodeLoadMessage decodes a message. Bytes of another kind or length are not ok.
func decodeLoadMessage(data []byte) (id EndpointID, work, latency float64, ok bool) {
	if len(data) < loadMessageSize || len(data) > loadMessageSize+1 || data[0] != loadMessageKind {
		return 0, 0, 0, false
	}
	if len(data) > loadMessageSize {
		latency = minGossipLatency * math.Exp2(float64(data[loadMessageSize])/latencySteps)
	}
	id = EndpointID(binary.BigEndian.Uint32(data[1:]))
	return id, float64(data[5]) / loadSteps, latency, true
}
