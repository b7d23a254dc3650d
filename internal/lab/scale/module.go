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
	checkInterval = 25 * time.Millisecond // between two rounds of a module's checks
	// requests that a module handles before the measurement, so that it has learned: two for each server that
	// the module uses, over all groups
	warmUpRequests = 25000
	minCalls       = 40 // number of rounds of checks in a second
	minMeasuredCPU = 200 * time.Millisecond
)

// nodeSettings returns the settings that the lab's platform gives a node in a fleet with the given number of
// nodes, which exchange messages.
func nodeSettings(dir string, nodes int) (balancer.Settings, error) {
	path := filepath.Join(dir, "module.json")
	c := platform.Node{
		Name:       "n",
		Number:     nodes / 3,
		Nodes:      nodes,
		Listen:     "127.0.0.1:0",
		Discovery:  "127.0.0.1:1",
		PeerListen: "127.0.0.1:0",
	}
	if err := c.Write(path, drawnWorld, 1); err != nil {
		return balancer.Settings{}, err
	}
	cfg, err := proxy.LoadConfig(path)
	return cfg.Settings, err
}

// drawnEndpoint returns the i-th endpoint of a drawn list.
func drawnEndpoint(i int) balancer.Endpoint {
	return balancer.Endpoint{
		ID:          balancer.EndpointID(uint32(i+1) * 2654435761),
		Zone:        zoneOf(i),
		MachineType: machineTypeOf(i),
		Cell:        i / 3,
		Weight:      1,
	}
}

// drawnWorld is the drawn world from which zones, machine types and classes are taken.
var drawnWorld = world.Draw(1, 3, 1)

func zoneOf(i int) string        { return drawnWorld.Zones[i%len(drawnWorld.Zones)] }
func machineTypeOf(i int) string { return drawnWorld.Kinds[i%len(drawnWorld.Kinds)] }

// Sizes holds the numbers of backends, nodes and rules of placement that a node's module has.
type Sizes struct{ Backends, Nodes, Placements int }

// addPlacements adds classes until the settings have the given number of rules of placement. Each added rule
// allows a third of the servers. If rules is 1, it adds no class.
func addPlacements(s *balancer.Settings, rules int) {
	originals := s.Classes
	for i := range rules - 1 {
		c := originals[i%len(originals)]
		c.Name, c.AllowedZones = fmt.Sprint("placed", i), []string{zoneOf(i), fmt.Sprint("none", i)}
		s.Classes = append(s.Classes, c)
	}
}

// Module measures a node's decision module alone, by the numbers of backends, nodes and rules of placement.
func Module(ctx context.Context, run Run, dir string, sizes []Sizes, report func(Point)) error {
	return run.record("module", func() (points []Point, err error) {
		for _, size := range sizes {
			settings, err := nodeSettings(dir, size.Nodes)
			if err != nil {
				return nil, err
			}
			addPlacements(&settings, size.Placements)
			pointSizes := map[string]int{"backends": size.Backends, "nodes": size.Nodes, "placements": size.Placements}
			p, err := repeated(
				run.Repeat,
				pointSizes,
				func() (map[string]float64, error) { return measureModule(ctx, settings, size.Backends) },
			)
			if err != nil {
				return nil, err
			}
			report(p)
			points = append(points, p)
		}
		return points, nil
	})
}

// costPerCall returns the processor time in seconds and the number of allocations of one call. It averages
// over at least atLeast calls, which take at least minMeasuredCPU.
func costPerCall(ctx context.Context, atLeast int, call func(i int)) (cpu, allocations float64, err error) {
	_, before := heapUse()
	began, n := fleet.OwnCPU(), 0
	for n < atLeast || fleet.OwnCPU()-began < minMeasuredCPU {
		if ctx.Err() != nil {
			return 0, 0, ctx.Err()
		}
		call(n)
		n++
	}
	took := fleet.OwnCPU() - began
	_, after := heapUse()
	return seconds(took) / float64(n), (after - before) / float64(n), nil
}

// measureModule measures the module of one node with the given number of backends.
func measureModule(
	ctx context.Context, settings balancer.Settings, backends int) (map[string]float64, error) {
	list := make([]balancer.Endpoint, backends)
	for i := range list {
		list[i] = drawnEndpoint(i)
	}
	heapBefore, _ := heapUse()
	m, now := balancer.New(settings, 1), time.Hour
	began := fleet.OwnCPU()
	m.Handle(now, balancer.EndpointsUpdated{Kind: balancer.UpdateComplete, Version: 1, Endpoints: list})
	completeList := seconds(fleet.OwnCPU() - began)
	for i := range warmUpRequests {
		now += time.Millisecond
		id := balancer.RequestID(fmt.Sprint(i))
		for _, a := range m.Handle(
			now,
			balancer.RequestArrived{ID: id, Class: settings.Classes[0].Name, Timeout: time.Second},
		) {
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
	heapAfter, _ := heapUse()
	round, roundAllocations, err := costPerCall(ctx, minCalls, func(int) {
		now += checkInterval
		m.Handle(now, balancer.TimerFired{})
	})
	if err != nil {
		return nil, err
	}
	change, changeAllocations, err := costPerCall(ctx, 10, func(i int) {
		// a server drains, or becomes ready again as a new process
		s := &list[i/2*7919%backends]
		now += checkInterval
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
		"rest_cores":    round / checkInterval.Seconds(),
		"rest_pieces":   roundAllocations,
		"change_s":      change,
		"change_pieces": changeAllocations,
		"whole_s":       completeList,
		"memory_bytes":  heapAfter - heapBefore,
	}, err
}
