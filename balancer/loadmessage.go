package balancer

import (
	"encoding/binary"
	"math"
)

// A message between proxies consists of its kind, the endpoint's ID (32 bits, big-endian), the load and, at
// the end of an attempt, the latency.
const (
	loadMessageKind         = 1
	loadMessageSize         = 6     // bytes without the latency, which takes one more byte
	loadStepsPerRequest     = 8.0   // the load is sent in steps of 1/8 of a mean request
	minGossipLatency        = 0.001 // s, the lowest latency that can be sent
	latencyStepsPerDoubling = 16.0  // the latency is sent on a logarithmic scale
)

// peerLoad is the work that another proxy reported to have in flight at an endpoint.
type peerLoad struct {
	proxy int
	work  float64 // mean requests
	at    Time    // when the report arrived
}

// encodeLoadMessage encodes the work in flight, in mean requests, and a latency in seconds, 0 for none.
func encodeLoadMessage(id EndpointID, work, latency float64) []byte {
	data := binary.BigEndian.AppendUint32([]byte{loadMessageKind}, uint32(id))
	data = append(data, byte(math.Min(math.MaxUint8, math.Round(loadStepsPerRequest*work))))
	if latency > 0 {
		steps := math.Round(latencyStepsPerDoubling * math.Log2(latency/minGossipLatency))
		data = append(data, byte(math.Min(math.MaxUint8, math.Max(0, steps))))
	}
	return data
}

// decodeLoadMessage decodes a message. ok is false if its kind or its length is unknown.
func decodeLoadMessage(data []byte) (id EndpointID, work, latency float64, ok bool) {
	if len(data) < loadMessageSize || len(data) > loadMessageSize+1 || data[0] != loadMessageKind {
		return 0, 0, 0, false
	}
	if len(data) > loadMessageSize {
		latency = minGossipLatency * math.Exp2(float64(data[loadMessageSize])/latencyStepsPerDoubling)
	}
	id = EndpointID(binary.BigEndian.Uint32(data[1:]))
	return id, float64(data[5]) / loadStepsPerRequest, latency, true
}
