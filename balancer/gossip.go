package balancer

import "math"

const (
	// maxGossipPrice is the part of the score that gossip on each request may cost, by Prices.Message.
	maxGossipPrice = 0.005
	// maxGossipPeers is the number of proxies on an endpoint above which receiving the messages of all of them
	// costs too much.
	maxGossipPeers = 32.0
	// gossipMessageCPU is the processor time, in seconds, that the system calls of a message take at this proxy
	// and at the receiver.
	gossipMessageCPU = 10e-6
	// peerLoadLifetime is the time for which a message is valid, in mean latencies: the message that replaces it
	// may be lost.
	peerLoadLifetime = 10.0
	gossipPriceUnit  = 256.0 // bytes per Prices.Message
)

// gossipState decides whether this proxy gossips, and with which proxies.
type gossipState struct {
	tracksPeers        bool    // this proxy determines which other proxies use an endpoint
	gossips            bool    // this proxy reports its load at an endpoint to them
	proxiesPerEndpoint float64 // mean number of proxies that use an endpoint
	proxiesByStart     []int   // all proxies in ring order of their subsets' starts, while peers are tracked
	gossipCPU          float64 // s of processor time available for messages
	gossipCPUAt        Time    // when gossipCPU was updated
}

// updatePeers decides whether this proxy gossips: few proxies must share an endpoint, and the messages must
// cost little. Their cost grows with the number of pairs of another proxy and an endpoint that the proxy
// uses. The upper bound of countPairs is used for this number, unless the bound is too expensive and the
// exact number might not be.
func (b *Balancer) updatePeers() {
	endpoints := float64(max(len(b.ring.endpoints), b.totalEndpoints))
	b.ringVersion++
	b.gossips = false
	b.tracksPeers = b.settings.AllowGossip && !b.queriesLoad && b.settings.Proxies > 1 &&
		endpoints > 0 && b.proxiesPerEndpoint <= maxGossipPeers
	if !b.tracksPeers {
		return
	}
	if len(b.proxiesByStart) != b.settings.Proxies {
		b.proxiesByStart = sortProxiesByStart(b.settings.Proxies)
	}
	tooExpensive := func(pairs float64) bool {
		bytesPerRequest := (2*loadMessageSize + 1) * pairs / endpoints // at its start and at its end
		return b.settings.Prices.Message*bytesPerRequest/gossipPriceUnit > maxGossipPrice
	}
	pairs := b.countPairs()
	// overlap is an upper bound on the pairs that countPairs counts again in another placement.
	overlap := endpoints * float64(len(b.placements)-1)
	if b.totalEndpoints == 0 && tooExpensive(pairs) && !tooExpensive(pairs-overlap) {
		pairs = 0
		for _, e := range b.ring.endpoints {
			pairs += float64(len(b.peersOf(e)))
		}
	}
	b.gossips = !tooExpensive(pairs)
}

// countPairs returns an upper bound on the number of pairs of another proxy and an endpoint that it uses.
func (b *Balancer) countPairs() (pairs float64) {
	others := float64(b.settings.Proxies)
	if b.settings.ProxyIndex >= 0 && b.settings.ProxyIndex < b.settings.Proxies {
		others--
	}
	for _, p := range b.placements {
		pairs += others * p.subsetSize
	}
	return pairs
}

// gossipLoad reports the work that this proxy has in flight at an endpoint to the proxies that share it. A
// message replaces the previous one, so a lost, delayed or duplicated message does little harm. latency is
// the latency of a mean request that a response has shown, in seconds; 0: none. It is sent because each proxy
// alone gets few responses from an endpoint and would notice a change late.
func (b *Balancer) gossipLoad(e *endpoint, latency float64) {
	if !b.gossips || e.State != Ready {
		return
	}
	data := encodeLoadMessage(e.ID, e.inFlightWork, latency)
	for _, proxy := range b.peersOf(e) {
		b.emit(SendMessage{To: proxy, Data: data})
	}
}

// takeGossipCPU takes the cost of the messages about an attempt from the processor time for gossip and
// reports whether the messages may be sent. The end of an attempt is reported even if this makes the
// available time negative. The start of an attempt is not reported if too little time is available, as the
// next end of an attempt at the endpoint reports the same sum.
func (b *Balancer) takeGossipCPU(e *endpoint, attemptEnds bool) bool {
	rate := b.settings.CPUPerSecond.Seconds()
	cost := gossipMessageCPU * float64(len(b.peersOf(e)))
	b.gossipCPU = math.Min(rate/10, b.gossipCPU+rate*(b.now-b.gossipCPUAt).Seconds())
	b.gossipCPUAt = b.now
	if rate > 0 && !attemptEnds && b.gossipCPU < cost {
		return false
	}
	b.gossipCPU = math.Max(-rate/10, b.gossipCPU-cost)
	return true
}

// receiveGossip handles a message. It ignores a message of an unknown form, about an unknown endpoint, or
// from a sender that is not one of the other proxies.
func (b *Balancer) receiveGossip(event MessageReceived) {
	id, work, latency, ok := decodeLoadMessage(event.Data)
	e := b.endpoints[id]
	fromPeer := event.From >= 0 && event.From < b.settings.Proxies && event.From != b.settings.ProxyIndex
	if !ok || e == nil || !fromPeer {
		return
	}
	if latency > 0 && b.meanLatency > 0 {
		b.recordLatency(e, latency)
	}
	e.recordPeerLoad(peerLoad{proxy: event.From, work: work, at: b.now})
}

// recordPeerLoad replaces the previous report of the same proxy.
func (e *endpoint) recordPeerLoad(load peerLoad) {
	for i := range e.peerLoads {
		if e.peerLoads[i].proxy == load.proxy {
			e.peerLoads[i] = load
			return
		}
	}
	e.peerLoads = append(e.peerLoads, load)
}

// knownLoad is the work in flight at an endpoint, in mean requests: that of this proxy and what other proxies
// have reported recently.
func (b *Balancer) knownLoad(e *endpoint) float64 {
	load := e.inFlightWork
	lifetime := secondsToDuration(peerLoadLifetime * b.meanLatency)
	for _, peer := range e.peerLoads {
		if b.now-peer.at <= lifetime {
			load += peer.work
		}
	}
	return load
}
