package scale

import (
	"context"
	"fmt"
)

// Numbers of backends and nodes, which are fixed while services and routes grow.
const (
	routedBackends = 2000
	routedNodes    = 300
)

// Routes measures a node's decisions alone by services and routes. Services are classes here, and routes
// are the different rules of placement of classes; with one route there is no rule.
func (p *Pairs) Routes(ctx context.Context, services, routes []int) error {
	settings, err := nodeSettings(p.Dir, routedNodes)
	if err != nil {
		return err
	}
	return p.record("pairs-routes", func() (all []Point, err error) {
		for _, s := range services {
			for _, r := range routes {
				at := settings
				at.Classes = nil
				for i := range s {
					c := settings.Classes[i%len(settings.Classes)]
					c.Name = fmt.Sprint(c.Name, i)
					at.Classes = append(at.Classes, c)
				}
				addPlacements(&at, r)
				one, err := repeated(
					p.Repeat,
					map[string]int{"services": s, "routes": r},
					func() (map[string]float64, error) { return measureModule(ctx, at, routedBackends) },
				)
				if err != nil {
					return nil, err
				}
				p.Report(one)
				all = append(all, one)
			}
		}
		return all, nil
	})
}
