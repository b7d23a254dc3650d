package views

import (
	"net/netip"
	"time"

	"indigotack/internal/fleet"
)

// rivalMisses is after how many periods without an answer the rival takes a member for dead: 2 s, about as long as the view needs.
const rivalMisses = 10

// rival is the plainest view: everybody asks everybody on a fixed list, each period, and believes only itself. It has the face of
// fleet.Core, so that it is measured in the same way.
type rival struct {
	cfg   fleet.Config
	peers []rivalPeer
	at    map[netip.AddrPort]int
	next  time.Duration
}

type rivalPeer struct {
	addr   netip.AddrPort
	member fleet.Member
	missed int
}

func newRival(cfg fleet.Config, now time.Duration) *rival {
	r := &rival{cfg: cfg, at: map[netip.AddrPort]int{}, next: now}
	r.cfg.Period = max(cfg.Period, 200*time.Millisecond)
	for _, a := range cfg.Seeds {
		if a != cfg.Addr {
			r.at[a] = len(r.peers)
			r.peers = append(r.peers, rivalPeer{addr: a})
		}
	}
	return r
}

// View is empty: what the rival believes is told by its changes alone.
func (r *rival) View() fleet.View { return fleet.View{Self: r.cfg.Name} }

const (
	rivalAsk = iota
	rivalAnswer
)

func (r *rival) Handle(now time.Duration, e fleet.Event) (out []fleet.Action) {
	switch e := e.(type) {
	case fleet.Received:
		i, known := r.at[e.From]
		if !known || len(e.Data) < 2 {
			break
		}
		if e.Data[0] == rivalAsk {
			out = append(out, r.say(rivalAnswer, r.peers[i]))
			break
		}
		p := &r.peers[i]
		p.missed = 0
		if p.member.Name == "" || p.member.Health != fleet.Alive {
			out = append(out, p.become(fleet.Member{Name: string(e.Data[1:]), Addr: p.addr}))
		}
	case fleet.Tick:
		if now < r.next {
			break
		}
		r.next = now + r.cfg.Period
		for i := range r.peers {
			p := &r.peers[i]
			if p.missed++; p.missed > rivalMisses && p.member.Name != "" && p.member.Health == fleet.Alive {
				dead := p.member
				dead.Health = fleet.Dead
				out = append(out, p.become(dead))
			}
			out = append(out, r.say(rivalAsk, *p))
		}
		out = append(out, fleet.Wake{After: r.cfg.Period})
	}
	return out
}

func (p *rivalPeer) become(m fleet.Member) fleet.Action {
	was := p.member
	p.member = m
	return fleet.Changed{Member: m, Before: was}
}

func (r *rival) say(kind byte, to rivalPeer) fleet.Action {
	return fleet.Send{Name: to.member.Name, To: to.addr, Data: append([]byte{kind}, r.cfg.Name...)}
}
