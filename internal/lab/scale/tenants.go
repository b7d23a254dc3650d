package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"runtime"
	"time"

	"wrenspread/internal/lab/fleet"
	"wrenspread/internal/policy"
	"wrenspread/internal/tenant"
)

// tenantSpec returns the specification of the i-th tenant, which is like the example in the documentation.
func tenantSpec(i int) *tenant.Spec {
	name := fmt.Sprintf("tenant-%06d", i)
	return &tenant.Spec{
		Names:   []string{name},
		Classes: []string{drawnWorld.Classes[0].Name, drawnWorld.Classes[1].Name},
		DrainMS: 5000,
		Quotas: []tenant.QuotaRef{
			{Limit: "book/" + name},
		},
		Routes: []tenant.Route{{Zones: []string{zoneOf(i)}, MinEndpoints: 2}},
	}
}

// Tenants measures a node's cache of tenants alone, by the number of tenants in the catalogue. The controller
// accepts no more tenants than its stated limit.
func Tenants(ctx context.Context, run Run, sizes []int, report func(Point)) error {
	return run.points(ctx, "tenants", "tenants", sizes, nil, report, func(n int) (map[string]float64, error) {
		heapBefore, _ := heapUse()
		entries, bytes := make([]*tenant.Entry, n), 0
		for i := range n {
			spec := tenantSpec(i)
			e := &tenant.Entry{Name: spec.Names[0], Phase: tenant.PhaseServe, Current: spec, Since: 1}
			raw, err := json.Marshal(e)
			if err != nil {
				return nil, err
			}
			entries[i], bytes = e, bytes+len(raw)
		}
		cache := tenant.NewCache(1, 0, false)
		cache.Handle(
			0,
			tenant.PolicyChanged{
				PolicyTable: tenant.PolicyTable{Version: 1, HasLimit: func(string) bool { return true }},
			},
		)
		cache.Handle(0, tenant.SessionOpened{TTL: time.Minute})
		cache.Handle(1, tenant.CatalogueRead{
			StartedAt: 1, Enrolled: true, Snapshot: tenant.NewSnapshot(1, entries...)})
		heapAfter, _ := heapUse()
		version := uint64(1)
		change, allocations, err := costPerCall(ctx, 3, func(i int) { // the next catalogue differs in one tenant
			version++
			spec := tenantSpec(i % n)
			entries[i%n] = &tenant.Entry{Name: spec.Names[0], Phase: tenant.PhaseServe, Current: spec, Since: version}
			next := tenant.NewSnapshot(version, entries...)
			cache.Handle(
				time.Duration(version),
				tenant.CatalogueRead{StartedAt: time.Duration(version), Enrolled: true, Snapshot: next},
			)
		})
		return map[string]float64{
			"memory_bytes":    heapAfter - heapBefore,
			"catalogue_bytes": float64(bytes),
			"change_s":        change,
			"change_pieces":   allocations,
		}, err
	})
}

// Policy measures a policy text with a limit for each book: the size of the text, the time to compile it, and
// the memory of the resulting table.
func Policy(ctx context.Context, run Run, sizes []int, report func(Point)) error {
	return run.points(ctx, "policy", "books", sizes, nil, report, func(n int) (map[string]float64, error) {
		known, text := policy.KnownNames{}, []byte("fleet {\n requests { rate = 1000000 }\n")
		for i := range n {
			name := fmt.Sprintf("tenant-%06d", i)
			known.Tenants = append(known.Tenants, name)
			text = fmt.Appendf(text, " book %q {\n  requests { rate = %d }\n }\n", name, 1+i%9)
		}
		text = append(text, "}\n"...)
		heapBefore, _ := heapUse()
		began := fleet.OwnCPU()
		table, err := policy.Compile("scale.hcl", text, known)
		if err != nil {
			return nil, err
		}
		took := seconds(fleet.OwnCPU() - began)
		heapAfter, _ := heapUse()
		runtime.KeepAlive(table)
		return map[string]float64{
			"text_bytes":   float64(len(text)),
			"compile_s":    took,
			"memory_bytes": heapAfter - heapBefore,
		}, nil
	})
}

// points records the figures that measure returns at each size of the kind sizeName. The points also have
// fixedSizes, which are the same for all of them; nil: none.
func (run Run) points(
	ctx context.Context,
	measurement, sizeName string,
	sizes []int,
	fixedSizes map[string]int,
	report func(Point),
	measure func(n int) (map[string]float64, error),
) error {
	return run.record(measurement, func() (points []Point, err error) {
		for _, n := range sizes {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			pointSizes := map[string]int{sizeName: n}
			maps.Copy(pointSizes, fixedSizes)
			p, err := repeated(run.Repeat, pointSizes, func() (map[string]float64, error) { return measure(n) })
			if err != nil {
				return nil, err
			}
			report(p)
			points = append(points, p)
		}
		return points, nil
	})
}
