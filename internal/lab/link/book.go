package link

import (
	"net"
	"sync"
)

// streamIndex finds streams by the local address of their connection to the target. The target may accept
// that connection before the dialling side has entered it here, so a lookup waits while any dial is in
// progress.
type streamIndex struct {
	mu       sync.Mutex
	dialDone *sync.Cond
	dialing  int
	streams  map[string]*Stream
}

func newStreamIndex() *streamIndex {
	b := &streamIndex{streams: map[string]*Stream{}}
	b.dialDone = sync.NewCond(&b.mu)
	return b
}

// dial connects the second half of a stream to the target, and enters the stream under the key that it
// returns.
func (b *streamIndex) dial(s *Stream, target string) (key string, err error) {
	b.mu.Lock()
	b.dialing++
	b.mu.Unlock()
	c, err := net.DialTimeout("tcp4", target, dialTimeout)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dialing--
	b.dialDone.Broadcast()
	if err != nil {
		return "", err
	}
	s.b = c.(*net.TCPConn)
	key = s.b.LocalAddr().String()
	b.streams[key] = s
	return key, nil
}

func (b *streamIndex) forget(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.streams, key)
}

// Lookup returns the stream whose second half connects from the address remote.
func (n *Net) Lookup(remote string) (*Stream, bool) {
	b := n.streams
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.streams[remote] == nil && b.dialing > 0 {
		b.dialDone.Wait()
	}
	s, ok := b.streams[remote]
	return s, ok
}
