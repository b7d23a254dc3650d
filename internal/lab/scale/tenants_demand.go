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

// workingSet is how many of all tenants a node uses in the measurement.
const workingSet = 2000

// recordStore replaces the registry, which can hold fewer records than the plan has tenants. What a node
// reads is counted by the bytes of the values, without the header and the envelope of an answer.
type recordStore struct {
	all   map[string]registry.Record
	bytes int
}

// Record returns the record of a key, and counts its bytes.
func (r *recordStore) Record(_ context.Context, key string) (registry.Record, error) {
	one, there := r.all[key]
	if !there {
		return one, &client.Error{Status: http.StatusNotFound}
	}
	r.bytes += len(one.Value)
	return one, nil
}

// read returns the bytes that were read since its last call.
func (r *recordStore) read() float64 {
	n := r.bytes
	r.bytes = 0
	return float64(n)
}

// controllerModel is the controller's state machine over records, with all its tenants at rest.
type controllerModel struct {
	recordStore
	m            *tenant.StateMachine
	observation  tenant.Observation
	now          time.Duration
	version      uint64
	written      int                        // bytes of all values written
	removedPages map[string]registry.Record // deleted pages
}

// newControllerModel is a controller with n active tenants.
func newControllerModel(n int) (*controllerModel, error) {
	c := &controllerModel{
		recordStore: recordStore{all: map[string]registry.Record{}},
		observation: tenant.Observation{
			Policy: tenant.PolicyFloors{Version: 1, Floors: map[string]float64{}, TotalFloor: float64(2 * n)},
		},
	}
	var s tenant.Stored
	for i := range n {
		f := tenantSpec(i)
		s.Tenants = append(s.Tenants, &tenant.Tenant{Format: 1, Name: f.Names[0], State: tenant.Active, Current: f})
		c.observation.Policy.Floors[f.Quotas[0].Limit] = 1
		// as many endpoints as tenants, so that each route has its own
		c.observation.Endpoints = append(
			c.observation.Endpoints, tenant.Endpoint{Zone: zoneOf(i), MachineType: "m"})
	}
	c.m = tenant.Load(0, s, tenant.DefaultTimes(), true)
	return c, c.round()
}

// round has the state machine handle the present observation, and writes the resulting records.
func (c *controllerModel) round() error {
	c.now += 200 * time.Millisecond
	puts, err := c.m.Handle(c.now, c.observation)
	c.observation.Orders = nil
	for _, p := range puts {
		c.version++
		if p.Value == nil {
			if c.removedPages != nil {
				c.removedPages[p.Key] = c.all[p.Key]
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

// orderCount is how many tenants are changed in one measurement, spread over the catalogue.
const orderCount = 20

// changeTenants changes tenants one after the other, records the controller's costs, and returns the heads
// of all catalogues, whose pages stay readable.
func (c *controllerModel) changeTenants(
	ctx context.Context,
	figures map[string]float64,
) (heads []registry.Record, err error) {
	n := len(c.observation.Endpoints)
	c.written, c.removedPages = 0, map[string]registry.Record{}
	began := fleet.OwnCPU()
	for i := range orderCount {
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
	)/orderCount, float64(
		c.written,
	)/orderCount
	figures["conductor_rest_s"], _, err = costPerCall(ctx, 3, func(int) { err = errors.Join(err, c.round()) })
	maps.Copy(c.all, c.removedPages)
	return heads, err
}

// order adds the order that changes the i-th tenant; three rounds complete it, each with a catalogue of its
// own.
func (c *controllerModel) order(i int) {
	f := tenantSpec(i)
	c.version++
	f.DrainMS = int64(c.version % 60000)
	c.observation.Orders = []tenant.PendingOrder{
		{
			Key:     tenant.OrderPrefix + f.Names[0],
			Name:    f.Names[0],
			Version: c.version,
			Order:   tenant.Order{Format: 1, ID: fmt.Sprint(c.version), Op: tenant.OrderChange, Spec: f},
		},
	}
}

// demandCache is a node's cache with its reader, which read tenants on demand.
type demandCache struct {
	*tenant.Cache
	*tenant.Reader
	now time.Duration
}

// read reads the records that the cache wants, and has the cache handle them.
func (d *demandCache) read(ctx context.Context) error {
	d.now += time.Second
	got, err := d.Read(ctx, func() time.Duration { return d.now }, d.Wanted())
	got.Enrolled = true
	d.Handle(d.now, got)
	return err
}

// TenantsOnDemand measures a node that reads only the tenants that its requests name, and the controller
// that writes for that node, by the number of tenants.
func TenantsOnDemand(ctx context.Context, run Run, sizes []int, report func(Point)) error {
	return run.points(
		ctx,
		"tenants-demand",
		"tenants",
		sizes,
		nil,
		report,
		func(n int) (map[string]float64, error) {
			none, _ := heapUse()
			c, err := newControllerModel(n)
			if err != nil {
				return nil, err
			}
			figures := map[string]float64{}
			empty, _ := heapUse()
			figures["conductor_memory_bytes"] = empty - none // including the records
			d := &demandCache{
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
				d.Handle(d.now, tenant.LeafMissing{Name: tenantSpec(i * n / set).Names[0]})
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
			full, _ := heapUse()
			figures["memory_bytes"] = full - empty

			heads, err := c.changeTenants(ctx, figures)
			if err != nil {
				return nil, err
			}
			// else their garbage would be counted as well
			c.m, c.observation, c.removedPages = nil, tenant.Observation{}, nil
			_, before := heapUse()
			began = fleet.OwnCPU()
			for _, head := range heads {
				c.all[tenant.HeadKey] = head
				if err := d.read(ctx); err != nil {
					return nil, err
				}
			}
			took := seconds(fleet.OwnCPU() - began)
			_, after := heapUse()
			catalogues := float64(len(heads))
			figures["change_s"], figures["change_pieces"], figures["change_bytes"] =
				took/catalogues, (after-before)/catalogues, c.read()/catalogues
			runtime.KeepAlive(d)
			return figures, err
		},
	)
}
