package link

import (
	"net"
	"sync"
)

// streamIndex finds a stream by the local address of its connection to the target. The target may accept the
// connection before dial has added the stream, so a lookup waits while any dial is in progress.
type streamIndex struct {
	mu       sync.Mutex
	dialDone *sync.Cond
	dialing  int
	streams  map[string]*Stream
}

func newStreamIndex() *streamIndex {
	x := &streamIndex{streams: map[string]*Stream{}}
	x.dialDone = sync.NewCond(&x.mu)
	return x
}

// dial connects a stream to the target, and adds the stream to the index under the returned key.
func (x *streamIndex) dial(s *Stream, target string) (key string, err error) {
	x.mu.Lock()
	x.dialing++
	x.mu.Unlock()
	c, err := net.DialTimeout("tcp4", target, dialTimeout)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.dialing--
	x.dialDone.Broadcast()
	if err != nil {
		return "", err
	}
	s.targetConn = c.(*net.TCPConn)
	key = s.targetConn.LocalAddr().String()
	x.streams[key] = s
	return key, nil
}

// forget removes a stream from the index.
func (x *streamIndex) forget(key string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.streams, key)
}

// Lookup returns the stream whose connection to the target has the local address remote. The target sees this
// address as the remote address.
func (n *Net) Lookup(remote string) (*Stream, bool) {
	x := n.streams
	x.mu.Lock()
	defer x.mu.Unlock()
	for x.streams[remote] == nil && x.dialing > 0 {
		x.dialDone.Wait()
	}
	s, ok := x.streams[remote]
	return s, ok
}
