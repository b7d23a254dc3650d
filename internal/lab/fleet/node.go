package fleet

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"indigotack/internal/lab/disco"
	"indigotack/internal/lab/link"
	"indigotack/internal/lab/platform"
	"indigotack/internal/lab/proc"
	"indigotack/internal/lab/spec"
)

// node is one node of the fleet, through all its processes.
type node struct {
	f          *fleet
	number     int
	name, zone string
	dir, tmp   string
	listen     string
	accept     *os.File     // the clients' socket, where the platform holds it
	agent      *disco.Agent // nil: it follows the list service by itself
	agentAt    string
	discovery  string   // where the node finds its agent
	list       []string // where it finds the list service
	peerListen netip.AddrPort
	peers      []string

	mu      sync.Mutex
	proc    *proc.Proc
	control string
	starts  uint64
	moves   int
}

func (f *fleet) newNode(i int) (*node, error) {
	n := &node{f: f, number: i, name: fmt.Sprint("n", i), zone: f.w.Zones[i%len(f.w.Zones)], peers: make([]string, f.e.Fleet.Nodes)}
	dir, err := filepath.Abs(filepath.Join(f.o.Dir, n.name))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", n.name, err)
	}
	n.dir = dir
	if n.tmp, err = os.MkdirTemp("", "lab"); err != nil { // short, as a Unix socket's name goes there
		return nil, fmt.Errorf("%s: %w", n.name, err)
	}
	f.atEnd(func() { os.RemoveAll(n.tmp) })
	if err := n.reserve(); err != nil {
		return nil, err
	}
	if err := n.connect(); err != nil {
		return nil, err
	}
	door, err := f.net.Connect(link.Ends{From: spec.Clients, To: n.name}, n.listen)
	if err != nil {
		return nil, err
	}
	f.front.Add(n.name, n.zone, door)
	return n, nil
}

// connect lays the node's links to the boxes, and to whoever tells it the list.
func (n *node) connect() (err error) {
	f := n.f
	if f.e.List.Direct {
		n.list, err = f.service.set.Doors(n.name)
		return err
	}
	boxes := map[string]string{}
	for _, m := range f.w.Machines {
		if boxes[m.Name], err = f.net.Connect(link.Ends{From: n.name, To: m.Name}, f.host.Box(m.Name).Address); err != nil {
			return err
		}
	}
	find := func(box string) string { return boxes[box] }
	if f.service == nil {
		n.agent = f.registry.Agent(n.name, f.log.Now, f.lateness(n.number), find)
	} else if n.agent, err = f.service.agent(n.name, find); err != nil {
		return err
	}
	var stop func()
	if n.agentAt, stop, err = n.agent.Serve(f.log); err != nil {
		return err
	}
	f.atEnd(stop)
	n.discovery, err = f.net.Connect(link.Ends{From: n.name, To: spec.Discovery}, n.agentAt)
	return err
}

// reserve chooses the addresses that the node listens at.
func (n *node) reserve() error {
	var free func()
	var err error
	if n.listen, free, err = link.Reserve(); err != nil {
		return err
	}
	n.f.atEnd(free)
	if n.f.e.Fleet.Messages {
		if n.peerListen, err = freeUDP(); err != nil {
			return err
		}
	}
	if !n.f.e.Fleet.Accept {
		return nil
	}
	ln, err := net.Listen("tcp4", n.listen)
	if err != nil {
		return fmt.Errorf("%s: %w", n.name, err)
	}
	defer ln.Close()
	if n.accept, err = ln.(*net.TCPListener).File(); err != nil {
		return fmt.Errorf("%s: %w", n.name, err)
	}
	n.f.atEnd(func() { n.accept.Close() })
	return nil
}

// write writes the node's configuration, with the list as its agent has it now.
func (n *node) write(control string) (path string, err error) {
	f := n.f
	n.starts++
	c := platform.Node{Name: n.name, Number: n.number, Nodes: f.e.Fleet.Nodes, Zone: n.zone, Listen: n.listen, Control: control,
		Discovery: n.discovery, List: n.list, ListFile: filepath.Join(n.dir, "list"), ByServer: f.e.Release != nil, Seed: f.o.Seed<<16 + uint64(n.number)<<8 + n.starts,
		MemoryMB: f.e.Fleet.MemoryMB, Sockets: f.e.Fleet.Sockets}
	if n.agent != nil {
		c.Known = n.agent.List(0, f.log.Now())
	}
	if f.e.Fleet.Messages {
		c.PeerListen, c.Peers = n.peerListen.String(), n.peers
	}
	if err := os.MkdirAll(n.dir, 0o755); err != nil {
		return "", fmt.Errorf("%s: %w", n.name, err)
	}
	path = filepath.Join(n.dir, "config.json")
	return path, c.Write(path, f.w, f.rate)
}

// begin starts a process of the node and waits until it says yes.
func (n *node) begin(ctx context.Context) error {
	n.mu.Lock()
	p, control, err := n.launch()
	if err == nil {
		n.proc, n.control = p, control
	}
	n.mu.Unlock()
	if err != nil {
		return err
	}
	n.f.net.Lift("down-" + n.name)
	return p.WaitReady(ctx, "http://"+control+"/healthcheck")
}

// launch starts a process. The caller holds the lock.
func (n *node) launch() (*proc.Proc, string, error) {
	control, free, err := link.Reserve()
	if err != nil {
		return nil, "", err
	}
	n.f.atEnd(free)
	path, err := n.write(control)
	if err != nil {
		return nil, "", err
	}
	s := proc.Spec{Name: n.name, Command: n.f.o.Node, Dir: n.dir, FDs: uint64(n.f.e.Fleet.Sockets),
		Env: append([]string{"GW_NAME=" + n.name, "GW_LISTEN=" + n.listen, "GW_DISCOVERY=" + n.discovery, "GW_CONFIG=" + path,
			"TMPDIR=" + n.tmp, "PATH=" + os.Getenv("PATH"), "GOMAXPROCS=1"}, n.f.o.Env...)} // its machine has one core
	if n.accept != nil {
		s.Files, s.Env = []*os.File{n.accept}, append(s.Env, "GW_ACCEPT_FD=3")
	}
	p, err := n.f.group.Start(s)
	return p, control, err
}

func (n *node) current() *proc.Proc {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.proc
}

// kill ends the process at once. From then on its address refuses, as that of a dead process does.
func (n *node) kill() error {
	p := n.current()
	if err := p.Kill(); err != nil {
		return err
	}
	<-p.Exited()
	n.refuse()
	return nil
}

func (n *node) refuse() {
	n.f.net.Lay("down-"+n.name, link.Shape{Refuse: true}, func(e link.Ends) bool { return e.From == spec.Clients && e.To == n.name })
}

// arriving is how long new connections go on to come to a node that was told to
// end, by the platform's 0.2 to 0.4 s.
const arriving = 300 * time.Millisecond

// stop is a planned end, of which the front knows.
func (n *node) stop() error {
	told := time.AfterFunc(arriving, func() { n.f.front.Leave(n.name) })
	defer told.Stop()
	err := n.current().Term(endTime)
	n.refuse()
	return err
}

// upgradeTime is what a new process has to say yes.
const upgradeTime = 6 * time.Second

// upgrade puts a new process in place of the present one while it serves.
func (n *node) upgrade(ctx context.Context) error {
	old := n.current()
	ctx, cancel := context.WithTimeout(ctx, upgradeTime)
	defer cancel()
	if err := n.begin(ctx); err != nil {
		return fmt.Errorf("upgrade: %w", err)
	}
	return old.Term(endTime)
}

// discoveryEnds is how long the old address of discovery serves on after a move.
const discoveryEnds = 1500 * time.Millisecond

// move gives the node's agent another address, and tells the node by SIGHUP.
func (n *node) move(ctx context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := spec.Discovery
	if n.moves > 0 {
		old = fmt.Sprint(spec.Discovery, "-", n.moves)
	}
	n.moves++
	address, err := n.f.net.Connect(link.Ends{From: n.name, To: fmt.Sprint(spec.Discovery, "-", n.moves)}, n.agentAt)
	if err != nil {
		return err
	}
	n.discovery = address
	if _, err := n.write(n.control); err != nil {
		return err
	}
	if err := n.proc.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	before := func(e link.Ends) bool { return e.From == n.name && e.To == old }
	n.f.net.Lay("moved-"+n.name+old, link.Shape{Refuse: true}, before)
	select {
	case <-time.After(discoveryEnds):
	case <-ctx.Done():
		return ctx.Err()
	}
	n.f.net.Reset(before)
	return nil
}
