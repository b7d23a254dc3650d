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

// node is one node of the fleet, over all of its process incarnations.
type node struct {
	fleet             *fleet
	number            int
	name, zone        string
	dir, tempDir      string
	listen            string           // address for clients
	acceptSocket      *os.File         // listening socket for clients, if the platform passes it to the process
	agent             *discovery.Agent // nil means that the node follows the registry itself
	agentAddress      string
	discoveryAddress  string         // address of the node's link to its agent
	registryAddresses []string       // addresses of the node's links to the registry
	peerListen        netip.AddrPort // UDP address for messages between nodes
	peers             []string       // UDP addresses of the links to the other nodes, by their numbers

	mu             sync.Mutex
	proc           *process.Proc // the process that was started last
	controlAddress string        // address of proc's health check and view
	configWrites   uint64        // number of configurations written so far
	agentMoves     int           // number of changes of the agent's address so far
}

// newNode creates the node with the given number, its links, and its entry in the front. It starts no
// process.
func (f *fleet) newNode(number int) (*node, error) {
	n := &node{
		fleet:  f,
		number: number,
		name:   fmt.Sprint("n", number),
		zone:   f.world.Zones[number%len(f.world.Zones)],
		peers:  make([]string, f.experiment.Fleet.Nodes),
	}
	dir, err := filepath.Abs(filepath.Join(f.options.Dir, n.name))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", n.name, err)
	}
	n.dir = dir
	// The node creates a Unix socket in this folder. The length of a socket's path is limited, so the folder's
	// path has to be short.
	if n.tempDir, err = os.MkdirTemp("", "lab"); err != nil {
		return nil, fmt.Errorf("%s: %w", n.name, err)
	}
	f.onClose(func() { besteffort.Cleanup(os.RemoveAll(n.tempDir)) })
	if err := n.reserveAddresses(); err != nil {
		return nil, err
	}
	if err := n.connect(); err != nil {
		return nil, err
	}
	clientAddress, err := f.net.Connect(link.Ends{From: spec.Clients, To: n.name}, n.listen)
	if err != nil {
		return nil, err
	}
	f.front.Add(n.name, n.zone, clientAddress)
	return n, nil
}

// connect creates the node's links to the backends and to its agent. A node that follows the registry
// directly instead gets links to the registry's replicas.
func (n *node) connect() (err error) {
	f := n.fleet
	if f.experiment.Discovery.Direct {
		n.registryAddresses, err = f.service.replicas.Connect(n.name)
		return err
	}
	backendAddresses := map[string]string{}
	for _, m := range f.world.Machines {
		if backendAddresses[m.Name], err = f.net.Connect(
			link.Ends{From: n.name, To: m.Name},
			f.host.Backend(m.Name).Address,
		); err != nil {
			return err
		}
	}
	backendAddress := func(backend string) string { return backendAddresses[backend] }
	if f.service == nil {
		n.agent = f.registry.Agent(n.name, f.log.Now, f.agentDelay(n.number), backendAddress)
	} else if n.agent, err = f.service.newAgent(n.name, backendAddress); err != nil {
		return err
	}
	var stop func()
	if n.agentAddress, stop, err = n.agent.Serve(f.log); err != nil {
		return err
	}
	f.onClose(stop)
	n.discoveryAddress, err = f.net.Connect(link.Ends{From: n.name, To: spec.Discovery}, n.agentAddress)
	return err
}

// reserveAddresses chooses the node's address for clients and, if nodes exchange messages, the UDP address.
// If the platform owns the clients' listening sockets, it also opens the node's socket.
func (n *node) reserveAddresses() error {
	var releasePort func()
	var err error
	if n.listen, releasePort, err = link.Reserve(); err != nil {
		return err
	}
	n.fleet.onClose(releasePort)
	if n.fleet.experiment.Fleet.Messages {
		if n.peerListen, err = freeUDP(); err != nil {
			return err
		}
	}
	if !n.fleet.experiment.Fleet.Accept {
		return nil
	}
	ln, err := net.Listen("tcp4", n.listen)
	if err != nil {
		return fmt.Errorf("%s: %w", n.name, err)
	}
	defer besteffort.Close(ln)
	if n.acceptSocket, err = ln.(*net.TCPListener).File(); err != nil {
		return fmt.Errorf("%s: %w", n.name, err)
	}
	n.fleet.onClose(func() { besteffort.Close(n.acceptSocket) })
	return nil
}

// writeConfig writes the node's configuration for a process with the given control address, and returns the
// file's path. The configuration contains the agent's present list, if the node has an agent.
func (n *node) writeConfig(control string) (path string, err error) {
	f := n.fleet
	n.configWrites++
	config := platform.Node{
		Name:              n.name,
		Number:            n.number,
		Nodes:             f.experiment.Fleet.Nodes,
		Zone:              n.zone,
		Listen:            n.listen,
		Control:           control,
		Discovery:         n.discoveryAddress,
		RegistryAddresses: n.registryAddresses,
		RegistryCacheFile: filepath.Join(n.dir, "list"),
		StatsByBackend:    f.experiment.Release != nil,
		Seed:              f.options.Seed<<16 + uint64(n.number)<<8 + n.configWrites,
		MemoryMB:          f.experiment.Fleet.MemoryMB,
		Sockets:           f.experiment.Fleet.Sockets,
	}
	if n.agent != nil {
		config.Known = n.agent.List(0, f.log.Now())
	}
	if f.experiment.Fleet.Messages {
		config.PeerListen, config.Peers = n.peerListen.String(), n.peers
	}
	if f.experiment.Fleet.View {
		config.Fleet, config.FollowPolicy = fleetName, f.experiment.Quota != nil
	}
	if err := os.MkdirAll(n.dir, 0o755); err != nil {
		return "", fmt.Errorf("%s: %w", n.name, err)
	}
	path = filepath.Join(n.dir, "config.json")
	return path, config.Write(path, f.world, f.requestRate)
}
