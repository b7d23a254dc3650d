package proxy

import (
	"context"
	"slices"
	"sync"
	"time"
)

const outliveLeast = 5 * time.Second // the old process stays so long, for operators that still call it

// links are the processes of this node that this one speaks with: the one
// before it, while that ends, and the one after it.
type links struct {
	mu        sync.Mutex
	all       []*link
	successor *link
}

// join takes in another process, but no second one that would succeed.
func (n *Node) join(l *link, successor bool) bool {
	n.links.mu.Lock()
	defer n.links.mu.Unlock()
	if successor {
		if n.links.successor != nil {
			return false
		}
		n.links.successor = l
	}
	n.links.all = append(n.links.all, l)
	n.overlap(true)
	return true
}

// leave ends what two processes share.
func (n *Node) leave(l *link) {
	l.close()
	n.links.mu.Lock()
	defer n.links.mu.Unlock()
	if n.links.successor == l {
		n.links.successor = nil
	}
	n.links.all = slices.DeleteFunc(n.links.all, func(o *link) bool { return o == l })
	n.overlap(len(n.links.all) > 0)
}

// overlap halves what this process may use, or takes it all back.
func (n *Node) overlap(on bool) {
	n.backends.share(on)
	if n.Overlap != nil {
		n.Overlap(on)
	}
}

// attend takes what the other process says until the link ends.
func (n *Node) attend(l *link, other func(message)) {
	stop := context.AfterFunc(n.ctx, l.close)
	defer stop()
	defer l.drop()
	for {
		m, err := l.next(time.Time{})
		if err != nil {
			return
		}
		if m.Kind != kindCall {
			if m.Kind == kindDone {
				l.done(m.Number)
			} else {
				other(m)
			}
			continue
		}
		n.do(func() { n.setMaintenance(m.Backend, m.On) })
		n.forward(l, m.Backend, m.On)
		if l.say(message{Kind: kindDone, Number: m.Number}, -1) != nil {
			return
		}
	}
}

// forward tells the other processes of a maintenance call. They stand in a row,
// so that none hears of it twice.
func (n *Node) forward(from *link, name string, on bool) {
	n.links.mu.Lock()
	all := slices.Clone(n.links.all)
	n.links.mu.Unlock()
	for _, l := range all {
		if l != from {
			l.call(n.ctx, name, on)
		}
	}
}
