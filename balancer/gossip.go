package balancer

import "math"

const (
	maxGossipPrice   = 0.005 // of the result, that gossip on each request may cost
	maxGossipPeers   = 32.0  // proxies on an endpoint beyond which listening to all of them costs too much
	gossipMessageCPU = 10e-6 // s, of processor time here and at the receiver, for the system calls
	peerLoadLifetime = 10.0  // mean latencies, for which a message holds: the one that ends it may be lost
	gossipPriceUnit  = 256.0 // bytes that Prices.Message is for
)

// gossipState reports whether this proxy gossips, and with whom.
type gossipState struct {
	tracksPeers        bool    // it has to know which other proxies work with an endpoint
	gossips            bool    // it tells them what it has in flight there
	proxiesPerEndpoint float64 // mean
	proxiesByStart     []int   // all proxies in ring order, while peers are tracked
	gossipCPU          float64 // s of processor time left for messages
	gossipCPUAt        Time
}

// updatePeers decides whether proxies gossip: if few share an endpoint and the messages cost little. Each
// proxy is counted once for each endpoint and placement at most.
func (b *Balancer) updatePeers() {
	endpoints := float64(max(len(b.ring.endpoints), b.total))
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
	overlap := endpoints * float64(len(b.placements)-1) // pairs that may be counted in two placements
	if b.total == 0 && tooExpensive(pairs) && !tooExpensive(pairs-overlap) {
		pairs = 0
		for _, e := range b.ring.endpoints {
			pairs += float64(len(b.peersOf(e)))
		}
	}
	b.gossips = !tooExpensive(pairs)
}

// countPairs is an upper bound on the pairs of another proxy and an endpoint that it works with.
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

// gossipLoad tells the proxies that share an endpoint what this one has in flight there. A message replaces
// the one before, so one that is lost, late or duplicated does little harm. latency is what a response has
// shown of a mean request, in seconds, 0 for none: each proxy alone has few responses of an endpoint and
// knows it late.
func (b *Balancer) gossipLoad(e *endpoint, latency float64) {
	if !b.gossips || e.State != Ready {
		return
	}
	data := encodeLoadMessage(e.ID, e.inFlightWork, latency)
	for _, proxy := range b.peersOf(e) {
		b.emit(SendMessage{To: proxy, Data: data})
	}
}

// takeGossipCPU takes the cost of the messages on an attempt out of the processor time for decisions. When
// that is used up, the start of an attempt is not sent, as the next end of one at that endpoint includes it.
// Ends are sent on credit.
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

// receiveGossip takes a message. One that this proxy does not understand, or about an endpoint that it does
// not know, is ignored.
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

// recordPeerLoad keeps a message in place of the one before from the same proxy.
func (e *endpoint) recordPeerLoad(load peerLoad) {
	for i := range e.peerLoads {
		if e.peerLoads[i].proxy == load.proxy {
			e.peerLoads[i] = load
			return
		}
	}
	e.peerLoads = append(e.peerLoads, load)
}

// knownLoad is the work in flight at an endpoint, in mean requests: this proxy's own and what others have
// told.
func (b *Balancer) knownLoad(e *endpoint) float64 {
	load := e.inFlightWork
	lifetime := seconds(peerLoadLifetime * b.meanLatency)
	for _, told := range e.peerLoads {
		if b.now-told.at <= lifetime {
			load += told.work
		}
	}
	return load
}
