package fleet

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/discovery"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/platform"
	"wrenspread/internal/lab/process"
	"wrenspread/internal/lab/spec"
)

// node is one node of the fleet, through all its processes.
type node struct {
	f          *fleet
	number     int
	name, zone string
	dir, tmp   string
	listen     string
	accept     *os.File         // the clients' socket, where the platform holds it
	agent      *discovery.Agent // nil: it follows the registry by itself
	agentAt    string
	discovery  string   // where the node finds its agent
	list       []string // where it finds the registry
	peerListen netip.AddrPort
	peers      []string

	mu      sync.Mutex
	proc    *process.Proc
	control string
	starts  uint64
	moves   int
}

func (f *fleet) newNode(i int) (*node, error) {
	n := &node{
		f:      f,
		number: i,
		name:   fmt.Sprint("n", i),
		zone:   f.w.Zones[i%len(f.w.Zones)],
		peers:  make([]string, f.e.Fleet.Nodes),
	}
	dir, err := filepath.Abs(filepath.Join(f.o.Dir, n.name))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", n.name, err)
	}
	n.dir = dir
	if n.tmp, err = os.MkdirTemp("", "lab"); err != nil { // short, as a Unix socket's name goes there
		return nil, fmt.Errorf("%s: %w", n.name, err)
	}
	f.atEnd(func() { besteffort.Cleanup(os.RemoveAll(n.tmp)) })
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

// connect lays the node's links to the backends, and to whoever tells it the list.
func (n *node) connect() (err error) {
	f := n.f
	if f.e.List.Direct {
		n.list, err = f.service.set.Connect(n.name)
		return err
	}
	boxes := map[string]string{}
	for _, m := range f.w.Machines {
		if boxes[m.Name], err = f.net.Connect(
			link.Ends{From: n.name, To: m.Name},
			f.host.Box(m.Name).Address,
		); err != nil {
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
	defer besteffort.Close(ln)
	if n.accept, err = ln.(*net.TCPListener).File(); err != nil {
		return fmt.Errorf("%s: %w", n.name, err)
	}
	n.f.atEnd(func() { besteffort.Close(n.accept) })
	return nil
}

// write writes the node's configuration, with the list as its agent has it now.
func (n *node) write(control string) (path string, err error) {
	f := n.f
	n.starts++
	c := platform.Node{
		Name:      n.name,
		Number:    n.number,
		Nodes:     f.e.Fleet.Nodes,
		Zone:      n.zone,
		Listen:    n.listen,
		Control:   control,
		Discovery: n.discovery,
		List:      n.list,
		ListFile:  filepath.Join(n.dir, "list"),
		ByServer:  f.e.Release != nil,
		Seed:      f.o.Seed<<16 + uint64(n.number)<<8 + n.starts,
		MemoryMB:  f.e.Fleet.MemoryMB,
		Sockets:   f.e.Fleet.Sockets,
	}
	if n.agent != nil {
		c.Known = n.agent.List(0, f.log.Now())
	}
	if f.e.Fleet.Messages {
		c.PeerListen, c.Peers = n.peerListen.String(), n.peers
	}
	if f.e.Fleet.View {
		c.Fleet, c.Govern = fleetName, f.e.Quota != nil
	}
	if err := os.MkdirAll(n.dir, 0o755); err != nil {
		return "", fmt.Errorf("%s: %w", n.name, err)
	}
	path = filepath.Join(n.dir, "config.json")
	return path, c.Write(path, f.w, f.rate)
}
