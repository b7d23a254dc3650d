package scale

import (
	"context"
	"fmt"
)

// Backends and nodes that stay as they are while services and routes grow.
const (
	routedBackends = 2000
	routedNodes    = 300
)

// Routes measures a node's decisions alone by services, which are classes here, and routes, which are the
// different rules of placement that classes have; one is none.
func (p *Pairs) Routes(ctx context.Context, services, routes []int) error {
	settings, err := settingsOf(p.Dir, routedNodes)
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
				place(&at, r)
				one, err := repeated(
					p.Repeat,
					map[string]int{"services": s, "routes": r},
					func() (map[string]float64, error) { return module(ctx, at, routedBackends) },
				)
				if err != nil {
					return nil, err
				}
				p.Say(one)
				all = append(all, one)
			}
		}
		return all, nil
	})
}
