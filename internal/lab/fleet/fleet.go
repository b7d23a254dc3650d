// Package fleet puts a run of the lab together: it starts the nodes, lets the
// clients loose, carries out the schedule of faults, ends everything, and
// judges the history.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"indigotack/internal/lab/backend"
	"indigotack/internal/lab/check"
	"indigotack/internal/lab/client"
	"indigotack/internal/lab/disco"
	"indigotack/internal/lab/history"
	"indigotack/internal/lab/link"
	"indigotack/internal/lab/load"
	"indigotack/internal/lab/proc"
	"indigotack/internal/lab/report"
	"indigotack/internal/lab/spec"
	"indigotack/internal/lab/world"
	"indigotack/internal/list"
)

// Options say what is played.
type Options struct {
	Experiment *spec.Experiment
	Seed       uint64
	Dir        string   // where history, logs and configurations go
	Node       []string // command of a node
	List       []string // command of a replica of the list service, for experiments that have one
	Ctl        []string // command of indigoctl, for those with a release
	Env        []string // further environment of both
	Follow     func(history.Event)
}

const (
	readyTime   = 30 * time.Second // only a hang takes so long
	endTime     = 8 * time.Second  // the longest deadline, taken as 3 s, and 0.7 s, and what a busy machine adds
	sampleEvery = 500 * time.Millisecond
)

// fleet is a run under way.
type fleet struct {
	o        Options
	e        *spec.Experiment
	log      *history.Log
	w        world.World
	ops      []load.Op
	rate     float64
	net      *link.Net
	book     *load.Book
	host     *backend.Host
	registry *disco.Registry // of the lab's own discovery
	service  *service        // or the project's list service; nil: the former
	group    *proc.Group
	front    *client.Front
	nodes    map[string]*node
	names    []string // of nodes, by number
	closing  sync.Mutex
	closes   []func()
	start    time.Duration // of the load

	disturbed disturbed

	release         *releasing // nil: none
	releaseVerdicts []check.Verdict
}

// Play plays an experiment to its end. The error says why it could not be played.
func Play(ctx context.Context, o Options) (report.Run, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return report.Run{}, fmt.Errorf("lab: %w", err)
	}
	log, err := history.New(filepath.Join(o.Dir, "history.jsonl"))
	if err != nil {
		return report.Run{}, err
	}
	log.Follow(o.Follow)
	log.Add(history.Event{Kind: history.Meta, Detail: o.Experiment.Name, Seed: o.Seed, Took: time.Duration(o.Experiment.Length)})
	f := &fleet{o: o, e: o.Experiment, log: log, nodes: map[string]*node{}}
	err = f.setUp(ctx)
	if err == nil {
		err = f.run(ctx)
	}
	f.close()
	if err := errors.Join(err, ctx.Err(), log.Close()); err != nil {
		return report.Run{}, err
	}
	return f.judge(), nil
}

func (f *fleet) setUp(ctx context.Context) error {
	e := f.e
	f.w = world.Draw(f.o.Seed, e.Fleet.Zones, e.Fleet.Boxes)
	f.adjustNet()
	f.rate = e.Load.Rate
	if f.rate == 0 {
		f.rate = e.Load.Use * f.w.Capacity() / f.w.MeanWork().Seconds()
	}
	shape := load.Shape{Rate: f.rate, Length: time.Duration(e.Length), Bursty: e.Load.Bursty, Swing: e.Load.Swing, Skew: e.Load.Skew}
	for _, s := range e.Load.Surges {
		shape.Surges = append(shape.Surges, load.Surge{From: time.Duration(s.At), To: time.Duration(s.At + s.For), Times: s.Times})
	}
	f.ops = load.Draw(f.o.Seed, f.w, shape)
	f.book = load.NewBook()
	f.net = link.NewNet(f.o.Seed)
	f.atEnd(f.net.Close)
	f.registry = &disco.Registry{}
	var err error
	if f.host, err = backend.NewHost(f.log, f.net, f.book, f.o.Seed, f.w); err != nil {
		return err
	}
	f.atEnd(f.host.Close)
	f.group = proc.NewGroup(f.log)
	if f.e.List.Replicas > 0 {
		if f.service, err = f.newService(); err != nil {
			return err
		}
	} else {
		for _, m := range f.w.Machines {
			f.list(m.Name, disco.Ready, "0", false)
		}
	}
	f.front = client.NewFront(f.frontNotice())
	if err := f.connect(); err != nil {
		return err
	}
	f.layNet()
	if f.service != nil {
		begin, cancel := context.WithTimeout(ctx, readyTime)
		defer cancel()
		if err := f.service.begin(begin); err != nil {
			return err
		}
	}
	return f.startNodes(ctx)
}

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
func (f *fleet) lateness(number int) disco.Lateness {
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

// list changes a box's entry in discovery.
func (f *fleet) list(box, status, since string, silent bool) {
	if f.service != nil {
		f.service.change(box, status, since, silent)
		return
	}
	f.registry.Set(f.log.Now(), f.entry(box, status, since), silent)
}

func (f *fleet) entry(box, status, since string) list.Entry {
	i := slices.IndexFunc(f.w.Machines, func(m world.Machine) bool { return m.Name == box })
	m := f.w.Machines[i]
	ms, _ := strconv.ParseInt(since, 10, 64)
	address := f.host.Box(box).Address
	if f.service != nil && f.service.doors != nil {
		address = f.service.doors[box]
	}
	return list.Entry{Name: box, Address: address, Zone: m.Zone, Type: m.Kind, Group: m.Pod, Status: status, Weight: 1, SinceMS: ms}
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

// freeUDP gives an address for datagrams that is free now.
func freeUDP() (netip.AddrPort, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("an address for messages: %w", err)
	}
	defer c.Close()
	a := c.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
}

// zoneOf is the zone of a node or a box; others have none.
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
	f.net.Lay("net", shape(f.w.Same), func(e link.Ends) bool { return zones[e.To] != "" && zones[e.From] == zones[e.To] && !messages(e) })
	f.net.Lay("net", shape(f.w.Cross), func(e link.Ends) bool {
		return isNode(e.From) && zones[e.To] != "" && zones[e.From] != zones[e.To] && !messages(e)
	})
	// Messages take 1.1 to 17 ms, whatever the zone.
	f.net.Lay("net", link.Shape{Delay: 1100 * time.Microsecond, Jitter: 15900 * time.Microsecond, Loss: f.e.Net.Loss}, messages)
}

func (f *fleet) startNodes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	errs := make(chan error, len(f.names))
	for _, name := range f.names {
		go func() { errs <- f.nodes[name].begin(ctx) }()
	}
	var all []error
	for range f.names {
		all = append(all, <-errs)
	}
	return errors.Join(all...)
}

func (f *fleet) run(ctx context.Context) error {
	bg, stop := context.WithCancel(ctx)
	defer stop()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	late := NewLateness(f.log)
	tasks.Go(func() { late.Watch(bg) })
	tasks.Go(func() { f.sample(bg) })
	tasks.Go(func() { f.front.Watch(bg) })
	if err := f.admitted(ctx); err != nil {
		return err
	}
	clients := client.New(f.log, f.front, f.book, f.o.Seed)
	clients.Late, clients.Disturbed = late.Add, f.disturbed.is
	f.start = f.log.Now() + 200*time.Millisecond
	if err := f.startRelease(ctx); err != nil {
		return err
	}
	steps := make(chan error, 1)
	go func() { steps <- f.carryOut(ctx) }()
	clients.Run(ctx, f.start, f.ops)
	if err := <-steps; err != nil || f.service == nil {
		return err
	}
	if err := f.service.await(ctx); err != nil {
		return err
	}
	if f.release != nil {
		if err := f.release.end(ctx); err != nil {
			return err
		}
	}
	if f.service.workers == nil {
		return nil
	}
	return f.service.workers.End(endTime)
}

// admitted waits until the front lets clients to all nodes.
func (f *fleet) admitted(ctx context.Context) error {
	limit := time.After(readyTime)
	for f.front.Admitted() < len(f.names) {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-limit:
			return fmt.Errorf("the front admits %d of %d nodes", f.front.Admitted(), len(f.names))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (f *fleet) sample(ctx context.Context) {
	t := time.NewTicker(sampleEvery)
	defer t.Stop()
	for {
		f.group.Sample()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// atEnd has something ended with the run.
func (f *fleet) atEnd(end func()) {
	f.closing.Lock()
	defer f.closing.Unlock()
	f.closes = append(f.closes, end)
}

// close ends everything: the processes, then what was made last first.
func (f *fleet) close() {
	if f.group != nil {
		f.group.Close(endTime)
	}
	f.closing.Lock()
	defer f.closing.Unlock()
	for _, c := range slices.Backward(f.closes) {
		c()
	}
}
