package link

import (
	"net"
	"sync"
)

// book finds streams by the address from which their second half comes. A
// listener may see that before the one who dialled does, so a look-up waits
// while anybody dials.
type book struct {
	mu      sync.Mutex
	settled *sync.Cond
	dialing int
	streams map[string]*Stream
}

func newBook() *book {
	b := &book{streams: map[string]*Stream{}}
	b.settled = sync.NewCond(&b.mu)
	return b
}

// dial connects the second half of a stream and notes it under the key that it gives.
func (b *book) dial(s *Stream, target string) (key string, err error) {
	b.mu.Lock()
	b.dialing++
	b.mu.Unlock()
	c, err := net.DialTimeout("tcp4", target, dialTime)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dialing--
	b.settled.Broadcast()
	if err != nil {
		return "", err
	}
	s.b = c.(*net.TCPConn)
	key = s.b.LocalAddr().String()
	b.streams[key] = s
	return key, nil
}

func (b *book) forget(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.streams, key)
}

// Lookup finds the stream whose second half comes from that address.
func (n *Net) Lookup(remote string) (*Stream, bool) {
	b := n.known
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.streams[remote] == nil && b.dialing > 0 {
		b.settled.Wait()
	}
	s, ok := b.streams[remote]
	return s, ok
}
