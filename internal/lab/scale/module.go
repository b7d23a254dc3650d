package scale

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/lab/fleet"
	"wrenspread/internal/lab/platform"
	"wrenspread/internal/lab/world"
	"wrenspread/internal/proxy"
)

const (
	tick = 25 * time.Millisecond // between a module's rounds of checks
	// requests, after which a module has learned: two a server in reach, of all groups
	warmUp     = 25000
	leastTicks = 40 // a second of them
	enough     = 200 * time.Millisecond
)

// settingsOf is what the lab's platform tells a node of so many, with messages between them.
func settingsOf(dir string, nodes int) (balancer.Settings, error) {
	path := filepath.Join(dir, "module.json")
	c := platform.Node{
		Name:       "n",
		Number:     nodes / 3,
		Nodes:      nodes,
		Listen:     "127.0.0.1:0",
		Discovery:  "127.0.0.1:1",
		PeerListen: "127.0.0.1:0",
	}
	if err := c.Write(path, drawn, 1); err != nil {
		return balancer.Settings{}, err
	}
	cfg, err := proxy.LoadConfig(path)
	return cfg.Settings, err
}

// drawnServer is one of a drawn list.
func drawnServer(i int) balancer.Endpoint {
	return balancer.Endpoint{
		ID:          balancer.EndpointID(uint32(i+1) * 2654435761),
		Zone:        zoneOf(i),
		MachineType: kindOf(i),
		Cell:        i / 3,
		Weight:      1,
	}
}

var drawn = world.Draw(1, 3, 1)

func zoneOf(i int) string { return drawn.Zones[i%len(drawn.Zones)] }
func kindOf(i int) string { return drawn.Kinds[i%len(drawn.Kinds)] }

// Sizes are what a node's module is notified of.
type Sizes struct{ Backends, Nodes, Placements int }

// place gives classes so many different rules of placement, each open to a third of the servers; one rule is
// none.
func place(s *balancer.Settings, rules int) {
	plain := s.Classes
	for i := range rules - 1 {
		c := plain[i%len(plain)]
		c.Name, c.AllowedZones = fmt.Sprint("placed", i), []string{zoneOf(i), fmt.Sprint("none", i)}
		s.Classes = append(s.Classes, c)
	}
}

// Module measures a node's decisions alone, by the backends, nodes and rules of placement that it knows of.
func Module(ctx context.Context, run Run, dir string, sizes []Sizes, say func(Point)) error {
	return run.record("module", func() (all []Point, err error) {
		for _, size := range sizes {
			settings, err := settingsOf(dir, size.Nodes)
			if err != nil {
				return nil, err
			}
			place(&settings, size.Placements)
			by := map[string]int{"backends": size.Backends, "nodes": size.Nodes, "placements": size.Placements}
			p, err := repeated(
				run.Repeat,
				by,
				func() (map[string]float64, error) { return module(ctx, settings, size.Backends) },
			)
			if err != nil {
				return nil, err
			}
			say(p)
			all = append(all, p)
		}
		return all, nil
	})
}

// cost is the processor time and the allocations of one of many calls.
func cost(ctx context.Context, least int, call func(i int)) (cpu, pieces float64, err error) {
	_, before := heap()
	began, n := fleet.OwnCPU(), 0
	for n < least || fleet.OwnCPU()-began < enough {
		if ctx.Err() != nil {
			return 0, 0, ctx.Err()
		}
		call(n)
		n++
	}
	took := fleet.OwnCPU() - began
	_, after := heap()
	return seconds(took) / float64(n), (after - before) / float64(n), nil
}

// module measures one module.
func module(ctx context.Context, settings balancer.Settings, backends int) (map[string]float64, error) {
	list := make([]balancer.Endpoint, backends)
	for i := range list {
		list[i] = drawnServer(i)
	}
	empty, _ := heap()
	m, now := balancer.New(settings, 1), time.Hour
	began := fleet.OwnCPU()
	m.Handle(now, balancer.EndpointsUpdated{Kind: balancer.UpdateComplete, Version: 1, Endpoints: list})
	whole := seconds(fleet.OwnCPU() - began)
	for i := range warmUp {
		now += time.Millisecond
		id := balancer.RequestID(fmt.Sprint(i))
		for _, a := range m.Handle(now, balancer.RequestArrived{ID: id, Class: settings.Classes[0].Name, Timeout: time.Second}) {
			if s, ok := a.(balancer.StartAttempt); ok {
				m.Handle(
					now,
					balancer.AttemptEnded{
						ID:              id,
						Endpoint:        s.Endpoint,
						Outcome:         balancer.OK,
						RequestAnswered: true,
						Elapsed:         20 * time.Millisecond,
					},
				)
			}
		}
		if i%25 == 0 && backends <= 2000 {
			m.Handle(now, balancer.TimerFired{})
		}
	}
	full, _ := heap()
	round, roundPieces, err := cost(ctx, leastTicks, func(int) {
		now += tick
		m.Handle(now, balancer.TimerFired{})
	})
	if err != nil {
		return nil, err
	}
	change, changePieces, err := cost(ctx, 10, func(i int) { // a server drains, or comes back as a new process
		s := &list[i/2*7919%backends]
		now += tick
		if s.State = balancer.Draining; i%2 == 1 {
			s.State, s.StartedAt = balancer.Ready, now
		}
		m.Handle(
			now,
			balancer.EndpointsUpdated{
				Kind:      balancer.UpdateIncremental,
				Version:   uint64(i + 2),
				Endpoints: []balancer.Endpoint{*s},
			},
		)
	})
	return map[string]float64{
		"rest_cores":    round / tick.Seconds(),
		"rest_pieces":   roundPieces,
		"change_s":      change,
		"change_pieces": changePieces,
		"whole_s":       whole,
		"memory_bytes":  full - empty,
	}, err
}
