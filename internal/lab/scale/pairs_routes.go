package scale

import (
	"context"
	"fmt"
)

// Numbers of backends and nodes, which are the same for all numbers of services and routes.
const (
	routedBackends = 2000
	routedNodes    = 300
)

// Routes measures a node's decision module alone, by the numbers of services and routes. A service is
// measured as a class, and a route as a rule of placement of classes; with one route there is no rule.
func (p *Pairs) Routes(ctx context.Context, services, routes []int) error {
	settings, err := nodeSettings(p.Dir, routedNodes)
	if err != nil {
		return err
	}
	return p.record("pairs-routes", func() (points []Point, err error) {
		for _, s := range services {
			for _, r := range routes {
				varied := settings
				varied.Classes = nil
				for i := range s {
					c := settings.Classes[i%len(settings.Classes)]
					c.Name = fmt.Sprint(c.Name, i)
					varied.Classes = append(varied.Classes, c)
				}
				addPlacements(&varied, r)
				point, err := repeated(
					p.Repeat,
					map[string]int{"services": s, "routes": r},
					func() (map[string]float64, error) { return measureModule(ctx, varied, routedBackends) },
				)
				if err != nil {
					return nil, err
				}
				p.Report(point)
				points = append(points, point)
			}
		}
		return points, nil
	})
}
