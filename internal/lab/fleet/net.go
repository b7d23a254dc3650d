package fleet

// The links between the parties, and how late the network and discovery are.

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

// adjustNet puts the experiment's own figures in place of drawn ones.
func (f *fleet) adjustNet() {
	for to, from := range map[*time.Duration]*spec.Duration{&f.w.Same: f.e.Net.Same, &f.w.Cross: f.e.Net.Cross, &f.w.Client: f.e.Net.Client} {
		if from != nil {
			*to = time.Duration(*from)
		}
	}
}

func (f *fleet) chance(what uint64) *rand.Rand { return rand.New(rand.NewPCG(f.o.Seed, what)) }

func (f *fleet) frontNotice() time.Duration {
	if f.e.Net.Front > 0 {
		return time.Duration(f.e.Net.Front)
	}
	return 910*time.Millisecond + time.Duration(f.chance(1).Float64()*2.8*float64(time.Second))
}

// lateness says how late the agent of a node hears of changes.
func (f *fleet) lateness(number int) discovery.Lateness {
	r := f.chance(100 + uint64(number))
	about := func(given spec.Duration, least, most float64) time.Duration {
		if given > 0 {
			return time.Duration(float64(given) * (0.5 + r.Float64()))
		}
		return time.Duration((least + r.Float64()*(most-least)) * float64(time.Second))
	}
	return func(silent bool) time.Duration { // called in the order of changes, under the registry's lock
		if silent {
			return about(f.e.List.Silent, 4.6, 14)
		}
		return about(f.e.List.Notice, 0.95, 4.8)
	}
}

// list changes a backend's entry in discovery.
func (f *fleet) list(box, status, since string, silent bool) {
	if f.service != nil {
		f.service.change(box, status, since, silent)
		return
	}
	f.registry.Set(f.log.Now(), f.entry(box, status, since), silent)
}

func (f *fleet) entry(box, status, since string) registry.Endpoint {
	i := slices.IndexFunc(f.w.Machines, func(m world.Machine) bool { return m.Name == box })
	m := f.w.Machines[i]
	ms, _ := strconv.ParseInt(since, 10, 64)
	address := f.host.Box(box).Address
	if f.service != nil && f.service.doors != nil {
		address = f.service.doors[box]
	}
	return registry.Endpoint{
		Name:        box,
		Address:     address,
		Zone:        m.Zone,
		Type:        m.Kind,
		Cell:        m.Pod,
		Status:      status,
		Weight:      1,
		StartedAtMS: ms,
	}
}

// connect makes the nodes and all links between the parties.
func (f *fleet) connect() error {
	for i := range f.e.Fleet.Nodes {
		n, err := f.newNode(i)
		if err != nil {
			return err
		}
		f.nodes[n.name] = n
		f.names = append(f.names, n.name)
	}
	if !f.e.Fleet.Messages {
		return nil
	}
	for i, from := range f.names {
		a := f.nodes[from]
		a.peers[i] = a.peerListen.String()
		for k := i + 1; k < len(f.names); k++ {
			b := f.nodes[f.names[k]]
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

// zoneOf is the zone of a node or a backend; others have none.
func (f *fleet) zoneOf(party string) string {
	if n, ok := f.nodes[party]; ok {
		return n.zone
	}
	for _, m := range f.w.Machines {
		if m.Name == party {
			return m.Zone
		}
	}
	return ""
}

// layNet gives every link its delay. Discovery's agent is on the node's own machine.
func (f *fleet) layNet() {
	zones := map[string]string{}
	for _, e := range f.net.Ends() {
		zones[e.From], zones[e.To] = f.zoneOf(e.From), f.zoneOf(e.To)
	}
	shape := func(d time.Duration) link.Shape {
		return link.Shape{Delay: d, Jitter: time.Duration(f.w.Jitter * float64(d))}
	}
	isNode := func(name string) bool { return f.nodes[name] != nil }
	f.net.Lay("net", shape(f.w.Same), func(e link.Ends) bool { return e.From == "nodes" }) // in no zone
	messages := func(e link.Ends) bool { return isNode(e.From) && isNode(e.To) }
	f.net.Lay("net", shape(f.w.Client), func(e link.Ends) bool { return e.From == spec.Clients })
	f.net.Lay(
		"net",
		shape(f.w.Same),
		func(e link.Ends) bool { return zones[e.To] != "" && zones[e.From] == zones[e.To] && !messages(e) },
	)
	f.net.Lay("net", shape(f.w.Cross), func(e link.Ends) bool {
		return isNode(e.From) && zones[e.To] != "" && zones[e.From] != zones[e.To] && !messages(e)
	})
	// Messages take 1.1 to 17 ms, whatever the zone.
	f.net.Lay(
		"net",
		link.Shape{Delay: 1100 * time.Microsecond, Jitter: 15900 * time.Microsecond, Loss: f.e.Net.Loss},
		messages,
	)
}
