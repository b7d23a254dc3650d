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

// tenantSpec is the i-th tenant, with a specification like the one in the documentation's example.
func tenantSpec(i int) *tenant.Spec {
	name := fmt.Sprintf("tenant-%06d", i)
	return &tenant.Spec{
		Names:   []string{name},
		Classes: []string{drawn.Classes[0].Name, drawn.Classes[1].Name},
		DrainMS: 5000,
		Quotas: []tenant.QuotaRef{
			{Limit: "book/" + name},
		},
		Routes: []tenant.Route{{Zones: []string{zoneOf(i)}, MinEndpoints: 2}},
	}
}

// Tenants measures a node's cache alone, by the tenants in the catalogue; the controller accepts no more
// tenants than its stated limit.
func Tenants(ctx context.Context, run Run, sizes []int, report func(Point)) error {
	return run.points(ctx, "tenants", "tenants", sizes, nil, report, func(n int) (map[string]float64, error) {
		empty, _ := heapUse()
		entries, bytes := make([]*tenant.Entry, n), 0
		for i := range n {
			f := tenantSpec(i)
			e := &tenant.Entry{Name: f.Names[0], Phase: tenant.PhaseServe, Current: f, Since: 1}
			raw, err := json.Marshal(e)
			if err != nil {
				return nil, err
			}
			entries[i], bytes = e, bytes+len(raw)
		}
		d := tenant.NewCache(1, 0, false)
		d.Handle(
			0,
			tenant.PolicyChanged{
				PolicyTable: tenant.PolicyTable{Version: 1, HasLimit: func(string) bool { return true }},
			},
		)
		d.Handle(0, tenant.SessionOpened{TTL: time.Minute})
		d.Handle(1, tenant.CatalogueRead{StartedAt: 1, Enrolled: true, Snapshot: tenant.NewSnapshot(1, entries...)})
		full, _ := heapUse()
		number := uint64(1)
		change, pieces, err := costPerCall(ctx, 3, func(i int) { // the next catalogue differs in one tenant
			number++
			f := tenantSpec(i % n)
			entries[i%n] = &tenant.Entry{Name: f.Names[0], Phase: tenant.PhaseServe, Current: f, Since: number}
			next := tenant.NewSnapshot(number, entries...)
			d.Handle(
				time.Duration(number),
				tenant.CatalogueRead{StartedAt: time.Duration(number), Enrolled: true, Snapshot: next},
			)
		})
		return map[string]float64{
			"memory_bytes":    full - empty,
			"catalogue_bytes": float64(bytes),
			"change_s":        change,
			"change_pieces":   pieces,
		}, err
	})
}

// Policy measures a text of limits, a line or two for each book: its size, the time to compile it, and the
// memory of its table.
func Policy(ctx context.Context, run Run, sizes []int, report func(Point)) error {
	return run.points(ctx, "policy", "books", sizes, nil, report, func(n int) (map[string]float64, error) {
		known, text := policy.KnownNames{}, []byte("fleet {\n requests { rate = 1000000 }\n")
		for i := range n {
			name := fmt.Sprintf("tenant-%06d", i)
			known.Tenants = append(known.Tenants, name)
			text = fmt.Appendf(text, " book %q {\n  requests { rate = %d }\n }\n", name, 1+i%9)
		}
		text = append(text, "}\n"...)
		empty, _ := heapUse()
		began := fleet.OwnCPU()
		table, err := policy.Compile("scale.hcl", text, known)
		if err != nil {
			return nil, err
		}
		took := seconds(fleet.OwnCPU() - began)
		full, _ := heapUse()
		runtime.KeepAlive(table)
		return map[string]float64{
			"text_bytes":   float64(len(text)),
			"compile_s":    took,
			"memory_bytes": full - empty,
		}, nil
	})
}

// points measures at each size of the kind along; fixed has the other sizes, nil: there are none.
func (run Run) points(
	ctx context.Context,
	what, along string,
	sizes []int,
	fixed map[string]int,
	report func(Point),
	one func(n int) (map[string]float64, error),
) error {
	return run.record(what, func() (all []Point, err error) {
		for _, n := range sizes {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			at := map[string]int{along: n}
			maps.Copy(at, fixed)
			p, err := repeated(run.Repeat, at, func() (map[string]float64, error) { return one(n) })
			if err != nil {
				return nil, err
			}
			report(p)
			all = append(all, p)
		}
		return all, nil
	})
}
