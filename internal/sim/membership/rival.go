package membership

import (
	"net/netip"
	"time"

	"wrenspread/internal/membership"
)

// rivalMaxMisses is the number of periods without an answer that the rival tolerates before it reports a
// member as dead: 2 s, which is about as long as membership.Core needs.
const rivalMaxMisses = 10

// rival is a simple alternative to membership.Core, measured for comparison: in each period a node probes
// every peer on a fixed list, and it relies on its own probes only. It implements Core, so that it is
// measured in the same way.
type rival struct {
	cfg        membership.Config
	peers      []rivalPeer
	peerIndex  map[netip.AddrPort]int
	nextPeriod time.Duration
}

// rivalPeer is what the rival knows of a peer.
type rivalPeer struct {
	addr   netip.AddrPort
	member membership.Member // without a Name before the first answer
	missed int               // periods since the last answer
}

func newRival(cfg membership.Config, now time.Duration) *rival {
	r := &rival{cfg: cfg, peerIndex: map[netip.AddrPort]int{}, nextPeriod: now}
	r.cfg.ProbeInterval = max(cfg.ProbeInterval, 200*time.Millisecond)
	for _, a := range cfg.Seeds {
		if a != cfg.Addr {
			r.peerIndex[a] = len(r.peers)
			r.peers = append(r.peers, rivalPeer{addr: a})
		}
	}
	return r
}

// View returns a view without members: the rival reports its members by MemberChanged actions only.
func (r *rival) View() membership.View { return membership.View{Self: r.cfg.Name} }

// The first byte of a rival's datagram.
const (
	rivalPing = iota
	rivalAnswer
)

// Handle answers probes, records answers, and in each period probes all peers and reports dead ones.
func (r *rival) Handle(now time.Duration, e membership.Event) (out []membership.Action) {
	switch e := e.(type) {
	case membership.Received:
		i, known := r.peerIndex[e.From]
		if !known || len(e.Data) < 2 {
			break
		}
		if e.Data[0] == rivalPing {
			out = append(out, r.datagram(rivalAnswer, r.peers[i]))
			break
		}
		p := &r.peers[i]
		p.missed = 0
		if p.member.Name == "" || p.member.Health != membership.Alive {
			out = append(out, p.setMember(membership.Member{Name: string(e.Data[1:]), Addr: p.addr}))
		}
	case membership.Tick:
		if now < r.nextPeriod {
			break
		}
		r.nextPeriod = now + r.cfg.ProbeInterval
		for i := range r.peers {
			p := &r.peers[i]
			if p.missed++; p.missed > rivalMaxMisses && p.member.Name != "" && p.member.Health == membership.Alive {
				dead := p.member
				dead.Health = membership.Dead
				out = append(out, p.setMember(dead))
			}
			out = append(out, r.datagram(rivalPing, *p))
		}
		out = append(out, membership.Wake{After: r.cfg.ProbeInterval})
	}
	return out
}

// setMember sets the peer's member and returns the action that reports the change.
func (p *rivalPeer) setMember(m membership.Member) membership.Action {
	before := p.member
	p.member = m
	return membership.MemberChanged{Member: m, Before: before}
}

// datagram returns the action that sends a peer a datagram of a kind with this node's name.
func (r *rival) datagram(kind byte, peer rivalPeer) membership.Action {
	return membership.Send{Name: peer.member.Name, To: peer.addr, Data: append([]byte{kind}, r.cfg.Name...)}
}
