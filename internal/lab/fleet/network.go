package fleet

// This file creates the links between nodes, and sets the delays of the network, the front and discovery.

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

// overrideDelays replaces the network delays drawn from the seed by the delays that the experiment sets.
func (f *fleet) overrideDelays() {
	for delay, override := range map[*time.Duration]*spec.Duration{
		&f.world.Same:   f.experiment.Net.Same,
		&f.world.Cross:  f.experiment.Net.Cross,
		&f.world.Client: f.experiment.Net.Client,
	} {
		if override != nil {
			*delay = time.Duration(*override)
		}
	}
}

// random returns a generator that is seeded with the run's seed and the key, so that generators with
// different keys draw independent numbers.
func (f *fleet) random(key uint64) *rand.Rand { return rand.New(rand.NewPCG(f.options.Seed, key)) }

// frontDelay is the time until the front notices that a node died.
func (f *fleet) frontDelay() time.Duration {
	if f.experiment.Net.Front > 0 {
		return time.Duration(f.experiment.Net.Front)
	}
	return 910*time.Millisecond + time.Duration(f.random(1).Float64()*2.8*float64(time.Second))
}

// agentDelay returns the function that draws, for each change of the registry, the delay until the agent of
// the node with this number learns of it. The delay is longer for a silent change, such as a backend that
// vanishes.
func (f *fleet) agentDelay(number int) discovery.DelayFunc {
	r := f.random(100 + uint64(number))
	draw := func(configured spec.Duration, low, high float64) time.Duration {
		if configured > 0 {
			return time.Duration(float64(configured) * (0.5 + r.Float64()))
		}
		return time.Duration((low + r.Float64()*(high-low)) * float64(time.Second))
	}
	return func(silent bool) time.Duration { // the registry calls it in the order of changes, under its lock
		if silent {
			return draw(f.experiment.Discovery.Silent, 4.6, 14)
		}
		return draw(f.experiment.Discovery.Notice, 0.95, 4.8)
	}
}

// setEntry changes a backend's entry in the project's registry or, if the run has none, in the lab's own
// discovery. silent means that the backend doesn't announce the change.
func (f *fleet) setEntry(backend, status, startedAtMS string, silent bool) {
	if f.service != nil {
		f.service.changeBackend(backend, status, startedAtMS, silent)
		return
	}
	f.registry.Set(f.log.Now(), f.entry(backend, status, startedAtMS), silent)
}

// entry returns the registration of a backend with the given status. startedAtMS is the backend's start time
// in Unix milliseconds, as text.
func (f *fleet) entry(backend, status, startedAtMS string) registry.Endpoint {
	i := slices.IndexFunc(f.world.Machines, func(m world.Machine) bool { return m.Name == backend })
	m := f.world.Machines[i]
	startedAt, _ := strconv.ParseInt(startedAtMS, 10, 64)
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
		StartedAtMS: startedAt,
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

// freeUDP returns a UDP address on loopback that no socket uses at present.
func freeUDP() (netip.AddrPort, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("find a free UDP port for messages: %w", err)
	}
	defer besteffort.Close(c)
	a := c.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
}

// zoneOf returns the zone of a node or a backend, and "" for other parties.
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
	// The links to backends that all nodes share, from "nodes", belong to no zone.
	f.net.ApplyShape("net", shape(f.world.Same), func(e link.Ends) bool { return e.From == "nodes" })
	messages := func(e link.Ends) bool { return isNode(e.From) && isNode(e.To) }
	f.net.ApplyShape("net", shape(f.world.Client), func(e link.Ends) bool { return e.From == spec.Clients })
	f.net.ApplyShape(
		"net",
		shape(f.world.Same),
		func(e link.Ends) bool { return zones[e.To] != "" && zones[e.From] == zones[e.To] && !messages(e) },
	)
	f.net.ApplyShape("net", shape(f.world.Cross), func(e link.Ends) bool {
		return isNode(e.From) && zones[e.To] != "" && zones[e.From] != zones[e.To] && !messages(e)
	})
	// Messages between nodes take 1.1 to 17 ms, independent of the zone.
	f.net.ApplyShape(
		"net",
		link.Shape{Delay: 1100 * time.Microsecond, Jitter: 15900 * time.Microsecond, Loss: f.experiment.Net.Loss},
		messages,
	)
}
