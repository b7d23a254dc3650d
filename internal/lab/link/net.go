package link

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Ends names a link by the party that connects and the party that listens. On a datagram link between nodes,
// each end does both.
type Ends struct{ From, To string }

// String returns the ends as "from->to".
func (e Ends) String() string { return e.From + "->" + e.To }

// Net owns the links of a lab. It is safe for concurrent use.
type Net struct {
	seed    uint64
	mu      sync.Mutex
	links   map[Ends]*linkState
	closers []func()
	streams *streamIndex
	tasks   sync.WaitGroup
	done    chan struct{} // closed by Close
	closed  bool
}

// NewNet returns a network without links. seed determines its random losses and delays.
func NewNet(seed uint64) *Net {
	return &Net{seed: seed, links: map[Ends]*linkState{}, done: make(chan struct{}), streams: newStreamIndex()}
}

// ApplyShape applies a shape to the links that match. It replaces the shape that has the same name on these
// links.
func (n *Net) ApplyShape(name string, s Shape, match func(Ends) bool) {
	n.each(match, func(l *linkState) { l.setShape(name, &s) })
}

// RemoveShape removes the shape of that name from all links.
func (n *Net) RemoveShape(name string) { n.each(nil, func(l *linkState) { l.setShape(name, nil) }) }

// Reset resets the open connections of the links that match.
func (n *Net) Reset(match func(Ends) bool) { n.each(match, func(l *linkState) { l.resetAll() }) }

// Ends returns the ends of all links.
func (n *Net) Ends() []Ends {
	n.mu.Lock()
	defer n.mu.Unlock()
	ends := make([]Ends, 0, len(n.links))
	for e := range n.links {
		ends = append(ends, e)
	}
	return ends
}

// each calls do for each link that matches; a nil match selects all links.
func (n *Net) each(match func(Ends) bool, do func(*linkState)) {
	n.mu.Lock()
	var matching []*linkState
	for e, l := range n.links {
		if match == nil || match(e) {
			matching = append(matching, l)
		}
	}
	n.mu.Unlock()
	for _, l := range matching {
		do(l)
	}
}

// add registers a link and the function that closes it.
func (n *Net) add(e Ends, l *linkState, closeLink func()) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return fmt.Errorf("add link %s: the network is closed", e)
	}
	if _, ok := n.links[e]; ok {
		return fmt.Errorf("add link %s: the link already exists", e)
	}
	n.links[e] = l
	n.closers = append(n.closers, closeLink)
	return nil
}

// Close closes all links and waits for their goroutines.
func (n *Net) Close() {
	n.mu.Lock()
	if !n.closed {
		n.closed = true
		close(n.done)
	}
	closers := n.closers
	n.closers = nil
	n.mu.Unlock()
	for _, closeLink := range closers {
		closeLink()
	}
	n.each(nil, func(l *linkState) { l.resetAll() })
	n.tasks.Wait()
}

// linkState holds the shapes on a link and its open streams.
type linkState struct {
	ends     Ends
	seed     uint64
	current  atomic.Pointer[activeShape]
	mu       sync.Mutex
	shapes   map[string]Shape
	streams  map[*Stream]bool
	onChange func(before, after Shape) // called with mu locked
	opened   uint64                    // connections opened so far
	resets   int                       // calls of resetAll so far
}

// activeShape is the merge of all shapes on a link, as of the last change.
type activeShape struct {
	Shape
	replaced chan struct{} // closed when another shape takes effect
}

func newState(n *Net, e Ends) *linkState {
	l := &linkState{ends: e, seed: n.seed, shapes: map[string]Shape{}, streams: map[*Stream]bool{}}
	l.current.Store(&activeShape{replaced: make(chan struct{})})
	return l
}

// setShape sets the shape with this name on the link, or removes it if s is nil, and applies the merged
// shape.
func (l *linkState) setShape(name string, s *Shape) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, had := l.shapes[name]; s == nil && !had {
		return
	}
	delete(l.shapes, name)
	if s != nil {
		l.shapes[name] = *s
	}
	var merged Shape
	for _, shape := range l.shapes {
		merged = Merge(merged, shape)
	}
	before := l.current.Swap(&activeShape{Shape: merged, replaced: make(chan struct{})})
	if l.onChange != nil {
		l.onChange(before.Shape, merged)
	}
	close(before.replaced)
}

// resetAll resets the open streams of the link.
func (l *linkState) resetAll() {
	l.mu.Lock()
	l.resets++
	var streams []*Stream
	for s := range l.streams {
		streams = append(streams, s)
	}
	l.mu.Unlock()
	for _, s := range streams {
		s.reset()
	}
}

// randomSource returns the random source for one direction of the connection with the given number.
func (l *linkState) randomSource(number uint64, direction Direction) *rand.Rand {
	h := l.seed
	for _, c := range []byte(l.ends.String()) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return rand.New(rand.NewPCG(h, number<<2|uint64(direction)))
}

// drawDelay draws the delay of one chunk or datagram.
func (s Shape) drawDelay(rng *rand.Rand) time.Duration {
	d := s.Delay
	if s.Jitter > 0 {
		d += time.Duration(rng.Int64N(int64(s.Jitter) + 1))
	}
	return d
}

// Reserve returns a loopback address. The system does not assign its port to another socket until free is
// called. A listener that sets SO_REUSEADDR, as Go's listeners do, can bind it repeatedly.
func Reserve() (address string, free func(), err error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, fmt.Errorf("reserve port: %w", err)
	}
	fail := func(err error) (string, func(), error) {
		_ = unix.Close(fd) // the socket holds no data
		return "", nil, fmt.Errorf("reserve port: %w", err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return fail(err)
	}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return fail(err)
	}
	socketName, err := unix.Getsockname(fd)
	if err != nil {
		return fail(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", socketName.(*unix.SockaddrInet4).Port), func() { _ = unix.Close(fd) }, nil
}
