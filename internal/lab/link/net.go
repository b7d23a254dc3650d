package link

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Ends names a link: who connects, and who listens. Between nodes, by datagrams, each end is both.
type Ends struct{ From, To string }

func (e Ends) String() string { return e.From + "->" + e.To }

// Net owns the links of a lab. It is safe for concurrent use.
type Net struct {
	seed   uint64
	mu     sync.Mutex
	links  map[Ends]*state
	closes []func()
	known  *book // of streams
	tasks  sync.WaitGroup
	done   chan struct{}
	closed bool
}

// NewNet makes a network without links. Chance on it is drawn by seed.
func NewNet(seed uint64) *Net {
	return &Net{seed: seed, links: map[Ends]*state{}, done: make(chan struct{}), known: newBook()}
}

// Lay lays a shape under a name on the links that match; one of the same name is replaced.
func (n *Net) Lay(name string, s Shape, match func(Ends) bool) {
	n.each(match, func(l *state) { l.lay(name, &s) })
}

// Lift takes the shape of that name off all links.
func (n *Net) Lift(name string) { n.each(nil, func(l *state) { l.lay(name, nil) }) }

// Reset resets the open connections of the links that match.
func (n *Net) Reset(match func(Ends) bool) { n.each(match, func(l *state) { l.resetAll() }) }

// Ends lists the links.
func (n *Net) Ends() []Ends {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]Ends, 0, len(n.links))
	for e := range n.links {
		all = append(all, e)
	}
	return all
}

func (n *Net) each(match func(Ends) bool, f func(*state)) {
	n.mu.Lock()
	var all []*state
	for e, l := range n.links {
		if match == nil || match(e) {
			all = append(all, l)
		}
	}
	n.mu.Unlock()
	for _, l := range all {
		f(l)
	}
}

func (n *Net) add(e Ends, l *state, closing func()) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return fmt.Errorf("link %s: the network is closed", e)
	}
	if _, ok := n.links[e]; ok {
		return fmt.Errorf("link %s: there is one already", e)
	}
	n.links[e] = l
	n.closes = append(n.closes, closing)
	return nil
}

// Close ends all links and waits for all that carries them.
func (n *Net) Close() {
	n.mu.Lock()
	if !n.closed {
		n.closed = true
		close(n.done)
	}
	closes := n.closes
	n.closes = nil
	n.mu.Unlock()
	for _, f := range closes {
		f()
	}
	n.each(nil, func(l *state) { l.resetAll() })
	n.tasks.Wait()
}

// state is what a link does now.
type state struct {
	ends    Ends
	seed    uint64
	now     atomic.Pointer[current]
	mu      sync.Mutex
	laid    map[string]Shape
	streams map[*Stream]bool
	changed func(before, after Shape) // under mu
	opened  uint64
	resets  int
}

type current struct {
	Shape
	over chan struct{} // closed once it is no longer the current one
}

func newState(n *Net, e Ends) *state {
	l := &state{ends: e, seed: n.seed, laid: map[string]Shape{}, streams: map[*Stream]bool{}}
	l.now.Store(&current{over: make(chan struct{})})
	return l
}

func (l *state) lay(name string, s *Shape) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, had := l.laid[name]; s == nil && !had {
		return
	}
	delete(l.laid, name)
	if s != nil {
		l.laid[name] = *s
	}
	var sum Shape
	for _, s := range l.laid {
		sum = Merge(sum, s)
	}
	before := l.now.Swap(&current{Shape: sum, over: make(chan struct{})})
	if l.changed != nil {
		l.changed(before.Shape, sum)
	}
	close(before.over)
}

func (l *state) resetAll() {
	l.mu.Lock()
	l.resets++
	var all []*Stream
	for s := range l.streams {
		all = append(all, s)
	}
	l.mu.Unlock()
	for _, s := range all {
		s.reset()
	}
}

// chance makes the random source of one direction of one connection.
func (l *state) chance(number uint64, way Way) *rand.Rand {
	h := l.seed
	for _, c := range []byte(l.ends.String()) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return rand.New(rand.NewPCG(h, number<<2|uint64(way)))
}

func (s Shape) lag(chance *rand.Rand) time.Duration {
	d := s.Delay
	if s.Jitter > 0 {
		d += time.Duration(chance.Int64N(int64(s.Jitter) + 1))
	}
	return d
}

// Reserve returns an address on loopback with a port that the system chose and gives to nobody else until
// free is called. A listener that sets SO_REUSEADDR, as Go's do, can have it, any number of times after one
// another.
func Reserve() (address string, free func(), err error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, fmt.Errorf("reserving a port: %w", err)
	}
	fail := func(err error) (string, func(), error) {
		_ = unix.Close(fd) // a socket without data
		return "", nil, fmt.Errorf("reserving a port: %w", err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return fail(err)
	}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return fail(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return fail(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port), func() { _ = unix.Close(fd) }, nil
}
