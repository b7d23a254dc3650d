package scale

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"runtime"
	"time"

	"wrenspread/internal/lab/fleet"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/tenant"
)

// workingSet is how many tenants a node works with in the measurement, of all that there are.
const workingSet = 2000

// recordStore stands for the registry, whose records are fewer than the plan's tenants. What
// a node reads is counted as its values' bytes: an answer's head and envelope come on top.
type recordStore struct {
	all   map[string]registry.Record
	bytes int
}

func (r *recordStore) Record(_ context.Context, key string) (registry.Record, error) {
	one, there := r.all[key]
	if !there {
		return one, &client.Error{Status: http.StatusNotFound}
	}
	r.bytes += len(one.Value)
	return one, nil
}

// read returns the bytes that were read since it was last asked.
func (r *recordStore) read() float64 {
	n := r.bytes
	r.bytes = 0
	return float64(n)
}

// conducted is the controller's machine over records, with all its tenants at rest.
type conducted struct {
	recordStore
	m       *tenant.StateMachine
	look    tenant.Observation
	now     time.Duration
	version uint64
	written int                        // bytes
	kept    map[string]registry.Record // pages that were taken away
}

func conduct(n int) (*conducted, error) {
	c := &conducted{
		recordStore: recordStore{all: map[string]registry.Record{}},
		look: tenant.Observation{
			Policy: tenant.PolicyFloors{Version: 1, Floors: map[string]float64{}, TotalFloor: float64(2 * n)},
		},
	}
	var s tenant.Stored
	for i := range n {
		f := tenantForm(i)
		s.Tenants = append(s.Tenants, &tenant.Tenant{Format: 1, Name: f.Names[0], State: tenant.Active, Current: f})
		c.look.Policy.Floors[f.Quotas[0].Limit] = 1
		// as many, so that each route has its own
		c.look.Endpoints = append(c.look.Endpoints, tenant.Endpoint{Zone: zoneOf(i), MachineType: "m"})
	}
	c.m = tenant.Load(0, s, tenant.DefaultTimes(), true)
	return c, c.round()
}

// round has the machine look, and writes what it says.
func (c *conducted) round() error {
	c.now += 200 * time.Millisecond
	puts, err := c.m.Handle(c.now, c.look)
	c.look.Orders = nil
	for _, p := range puts {
		c.version++
		if p.Value == nil {
			if c.kept != nil {
				c.kept[p.Key] = c.all[p.Key]
			}
			delete(c.all, p.Key)
		} else {
			c.all[p.Key] = registry.Record{Key: p.Key, Value: p.Value, Version: c.version}
		}
		c.written += len(p.Value)
		c.m.RecordWritten(p, c.version)
	}
	return err
}

// playedOrders is how many tenants are changed in one measurement, all over the catalogue.
const playedOrders = 20

// changes has tenants changed one after the other, notes the controller's costs, and gives the
// heads of all catalogues, whose pages stay.
func (c *conducted) changes(
	ctx context.Context,
	figures map[string]float64,
) (heads []registry.Record, err error) {
	n := len(c.look.Endpoints)
	c.written, c.kept = 0, map[string]registry.Record{}
	began := fleet.OwnCPU()
	for i := range playedOrders {
		c.order((i*7919 + n/2) % n)
		for range 3 {
			if err := errors.Join(c.round(), ctx.Err()); err != nil {
				return nil, err
			}
			heads = append(heads, c.all[tenant.HeadKey])
		}
	}
	figures["conductor_order_s"], figures["conductor_order_bytes"] = seconds(
		fleet.OwnCPU()-began,
	)/playedOrders, float64(
		c.written,
	)/playedOrders
	figures["conductor_rest_s"], _, err = cost(ctx, 3, func(int) { err = errors.Join(err, c.round()) })
	maps.Copy(c.all, c.kept)
	return heads, err
}

// order has a tenant changed; three rounds bring it to its end, each with a catalogue.
func (c *conducted) order(i int) {
	f := tenantForm(i)
	c.version++
	f.DrainMS = int64(c.version % 60000)
	c.look.Orders = []tenant.PendingOrder{
		{
			Key:     tenant.OrderPrefix + f.Names[0],
			Name:    f.Names[0],
			Version: c.version,
			Order:   tenant.Order{Format: 1, ID: fmt.Sprint(c.version), Op: tenant.OrderChange, Spec: f},
		},
	}
}

// demanding is a node's cache with its reader, on demand.
type demanding struct {
	*tenant.Cache
	*tenant.Reader
	now time.Duration
}

// read has the cache take up what it wants.
func (d *demanding) read(ctx context.Context) error {
	d.now += time.Second
	got, err := d.Read(ctx, func() time.Duration { return d.now }, d.Wanted())
	got.Enrolled = true
	d.Handle(d.now, got)
	return err
}

// TenantsOnDemand measures a node that reads what its requests name, and the controller that writes for it,
// by the tenants that there are.
func TenantsOnDemand(ctx context.Context, run Run, sizes []int, say func(Point)) error {
	return run.points(
		ctx,
		"tenants-demand",
		"tenants",
		sizes,
		nil,
		say,
		func(n int) (map[string]float64, error) {
			none, _ := heap()
			c, err := conduct(n)
			if err != nil {
				return nil, err
			}
			figures := map[string]float64{}
			empty, _ := heap()
			figures["conductor_memory_bytes"] = empty - none // with the records
			d := &demanding{
				Cache:  tenant.NewCache(1, 0, true),
				Reader: &tenant.Reader{Source: &c.recordStore},
				now:    time.Second,
			}
			d.Handle(
				d.now,
				tenant.PolicyChanged{
					PolicyTable: tenant.PolicyTable{Version: 1, HasLimit: func(string) bool { return true }},
				},
			)
			d.Handle(d.now, tenant.SessionOpened{TTL: time.Hour})
			if err := d.read(ctx); err != nil {
				return nil, err
			}
			figures["start_bytes"] = c.read()
			began, set := fleet.OwnCPU(), min(n, workingSet)
			for i := range set {
				d.Handle(d.now, tenant.LeafMissing{Name: tenantForm(i * n / set).Names[0]})
				if i%64 == 63 || i == set-1 {
					if err := d.read(ctx); err != nil {
						return nil, err
					}
				}
			}
			figures["working_bytes"], figures["working_s"], figures["known"] = c.read(), seconds(
				fleet.OwnCPU()-began,
			), float64(
				d.TenantCount(),
			)
			full, _ := heap()
			figures["memory_bytes"] = full - empty

			heads, err := c.changes(ctx, figures)
			if err != nil {
				return nil, err
			}
			c.m, c.look, c.kept = nil, tenant.Observation{}, nil // else their garbage would be counted, too
			_, before := heap()
			began = fleet.OwnCPU()
			for _, head := range heads {
				c.all[tenant.HeadKey] = head
				if err := d.read(ctx); err != nil {
					return nil, err
				}
			}
			took := seconds(fleet.OwnCPU() - began)
			_, after := heap()
			catalogues := float64(len(heads))
			figures["change_s"], figures["change_pieces"], figures["change_bytes"] = took/catalogues, (after-before)/catalogues, c.read()/catalogues
			runtime.KeepAlive(d)
			return figures, err
		},
	)
}
