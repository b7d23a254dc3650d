package fleet

// The links between the parties, and the delays of the network and of discovery.

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/discovery"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/spec"
	"wrenspread/internal/lab/world"
	"wrenspread/internal/registry"
)

// overrideDelays replaces drawn network delays by those that the experiment sets.
func (f *fleet) overrideDelays() {
	for to, from := range map[*time.Duration]*spec.Duration{
		&f.world.Same:   f.experiment.Net.Same,
		&f.world.Cross:  f.experiment.Net.Cross,
		&f.world.Client: f.experiment.Net.Client,
	} {
		if from != nil {
			*to = time.Duration(*from)
		}
	}
}

// random returns the random numbers of one purpose, drawn from the run's seed.
func (f *fleet) random(what uint64) *rand.Rand { return rand.New(rand.NewPCG(f.options.Seed, what)) }

// frontDelay is the time until the front notices a change of a node.
func (f *fleet) frontDelay() time.Duration {
	if f.experiment.Net.Front > 0 {
		return time.Duration(f.experiment.Net.Front)
	}
	return 910*time.Millisecond + time.Duration(f.random(1).Float64()*2.8*float64(time.Second))
}

// agentDelay returns the function that draws how late the agent of a node learns of each change. A silent
// change, such as a backend that vanishes, takes longer.
func (f *fleet) agentDelay(number int) discovery.Lateness {
	r := f.random(100 + uint64(number))
	about := func(given spec.Duration, least, most float64) time.Duration {
		if given > 0 {
			return time.Duration(float64(given) * (0.5 + r.Float64()))
		}
		return time.Duration((least + r.Float64()*(most-least)) * float64(time.Second))
	}
	return func(silent bool) time.Duration { // called in the order of changes, under the registry's lock
		if silent {
			return about(f.experiment.List.Silent, 4.6, 14)
		}
		return about(f.experiment.List.Notice, 0.95, 4.8)
	}
}

// setEntry changes a backend's entry in the registry or in the lab's own discovery.
func (f *fleet) setEntry(backend, status, since string, silent bool) {
	if f.service != nil {
		f.service.changeBackend(backend, status, since, silent)
		return
	}
	f.registry.Set(f.log.Now(), f.entry(backend, status, since), silent)
}

// entry is the registration of a backend with the given status and start time, in Unix milliseconds.
func (f *fleet) entry(backend, status, since string) registry.Endpoint {
	i := slices.IndexFunc(f.world.Machines, func(m world.Machine) bool { return m.Name == backend })
	m := f.world.Machines[i]
	ms, _ := strconv.ParseInt(since, 10, 64)
	address := f.host.Backend(backend).Address
	if f.service != nil && f.service.backendAddresses != nil {
		address = f.service.backendAddresses[backend]
	}
	return registry.Endpoint{
		Name:        backend,
		Address:     address,
		Zone:        m.Zone,
		Type:        m.Kind,
		Cell:        m.Pod,
		Status:      status,
		Weight:      1,
		StartedAtMS: ms,
	}
}

// connectNodes creates the nodes with their links, and the links between nodes if they exchange messages.
func (f *fleet) connectNodes() error {
	for i := range f.experiment.Fleet.Nodes {
		n, err := f.newNode(i)
		if err != nil {
			return err
		}
		f.nodes[n.name] = n
		f.nodeNames = append(f.nodeNames, n.name)
	}
	if !f.experiment.Fleet.Messages {
		return nil
	}
	for i, from := range f.nodeNames {
		a := f.nodes[from]
		a.peers[i] = a.peerListen.String()
		for k := i + 1; k < len(f.nodeNames); k++ {
			b := f.nodes[f.nodeNames[k]]
			toSeen, fromSeen, err := f.net.Pair(link.Ends{From: a.name, To: b.name}, a.peerListen, b.peerListen)
			if err != nil {
				return err
			}
			a.peers[k], b.peers[i] = toSeen.String(), fromSeen.String()
		}
	}
	return nil
}

// freeUDP returns an address for datagrams that is free now.
func freeUDP() (netip.AddrPort, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("an address for messages: %w", err)
	}
	defer besteffort.Close(c)
	a := c.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
}

// zoneOf is the zone of a node or a backend; "" for other parties.
func (f *fleet) zoneOf(party string) string {
	if n, ok := f.nodes[party]; ok {
		return n.zone
	}
	for _, m := range f.world.Machines {
		if m.Name == party {
			return m.Zone
		}
	}
	return ""
}

// applyNetworkDelays sets the delay of each link. Links to a node's agent have no delay, as it runs on the
// node's machine.
func (f *fleet) applyNetworkDelays() {
	zones := map[string]string{}
	for _, e := range f.net.Ends() {
		zones[e.From], zones[e.To] = f.zoneOf(e.From), f.zoneOf(e.To)
	}
	shape := func(d time.Duration) link.Shape {
		return link.Shape{Delay: d, Jitter: time.Duration(f.world.Jitter * float64(d))}
	}
	isNode := func(name string) bool { return f.nodes[name] != nil }
	// The common links of all nodes, from "nodes", belong to no zone.
	f.net.Lay("net", shape(f.world.Same), func(e link.Ends) bool { return e.From == "nodes" })
	messages := func(e link.Ends) bool { return isNode(e.From) && isNode(e.To) }
	f.net.Lay("net", shape(f.world.Client), func(e link.Ends) bool { return e.From == spec.Clients })
	f.net.Lay(
		"net",
		shape(f.world.Same),
		func(e link.Ends) bool { return zones[e.To] != "" && zones[e.From] == zones[e.To] && !messages(e) },
	)
	f.net.Lay("net", shape(f.world.Cross), func(e link.Ends) bool {
		return isNode(e.From) && zones[e.To] != "" && zones[e.From] != zones[e.To] && !messages(e)
	})
	// Messages between nodes take 1.1 to 17 ms, independent of the zone.
	f.net.Lay(
		"net",
		link.Shape{Delay: 1100 * time.Microsecond, Jitter: 15900 * time.Microsecond, Loss: f.experiment.Net.Loss},
		messages,
	)
}
