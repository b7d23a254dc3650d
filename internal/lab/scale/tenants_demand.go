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

// workingSetTenants is the number of tenants that a node uses in the measurement, of all that there are.
const workingSetTenants = 2000

// recordStore replaces the registry, which can hold fewer records than the plan has tenants. It counts the
// bytes of the values that a node reads, without the header and the envelope of an answer.
type recordStore struct {
	records map[string]registry.Record
	bytes   int
}

// Record returns the record of a key, and counts the bytes of its value.
func (r *recordStore) Record(_ context.Context, key string) (registry.Record, error) {
	record, found := r.records[key]
	if !found {
		return record, &client.Error{Status: http.StatusNotFound}
	}
	r.bytes += len(record.Value)
	return record, nil
}

// takeBytesRead returns the bytes that were read since its previous call.
func (r *recordStore) takeBytesRead() float64 {
	n := r.bytes
	r.bytes = 0
	return float64(n)
}

// controllerModel is the state machine of the tenants' controller with its records in memory. At the start
// all its tenants are active.
type controllerModel struct {
	recordStore
	machine      *tenant.StateMachine
	observation  tenant.Observation
	now          time.Duration
	version      uint64
	bytesWritten int                        // bytes of all written values
	removedPages map[string]registry.Record // pages that were deleted; nil: deleted pages are not kept
}

// newControllerModel returns a controller with n active tenants.
func newControllerModel(n int) (*controllerModel, error) {
	c := &controllerModel{
		recordStore: recordStore{records: map[string]registry.Record{}},
		observation: tenant.Observation{
			Policy: tenant.PolicyFloors{Version: 1, Floors: map[string]float64{}, TotalFloor: float64(2 * n)},
		},
	}
	var stored tenant.Stored
	for i := range n {
		spec := tenantSpec(i)
		stored.Tenants = append(stored.Tenants,
			&tenant.Tenant{Format: 1, Name: spec.Names[0], State: tenant.Active, Current: spec})
		c.observation.Policy.Floors[spec.Quotas[0].Limit] = 1
		// as many endpoints as tenants, so that each route has its own
		c.observation.Endpoints = append(
			c.observation.Endpoints, tenant.Endpoint{Zone: zoneOf(i), MachineType: "m"})
	}
	c.machine = tenant.Load(0, stored, tenant.DefaultTimes(), true)
	return c, c.step()
}

// step has the state machine handle the present observation, and writes the resulting records.
func (c *controllerModel) step() error {
	c.now += 200 * time.Millisecond
	puts, err := c.machine.Handle(c.now, c.observation)
	c.observation.Orders = nil
	for _, p := range puts {
		c.version++
		if p.Value == nil {
			if c.removedPages != nil {
				c.removedPages[p.Key] = c.records[p.Key]
			}
			delete(c.records, p.Key)
		} else {
			c.records[p.Key] = registry.Record{Key: p.Key, Value: p.Value, Version: c.version}
		}
		c.bytesWritten += len(p.Value)
		c.machine.RecordWritten(p, c.version)
	}
	return err
}

// changedTenants is the number of tenants that one measurement changes; they are spread over the catalogue.
const changedTenants = 20

// changeTenants changes tenants one after the other, and adds the costs of the controller to figures. It
// returns the head of the catalogue after each step; the pages of all these catalogues stay readable.
func (c *controllerModel) changeTenants(
	ctx context.Context,
	figures map[string]float64,
) (heads []registry.Record, err error) {
	n := len(c.observation.Endpoints)
	c.bytesWritten, c.removedPages = 0, map[string]registry.Record{}
	began := fleet.OwnCPU()
	for i := range changedTenants {
		c.order((i*7919 + n/2) % n)
		for range 3 {
			if err := errors.Join(c.step(), ctx.Err()); err != nil {
				return nil, err
			}
			heads = append(heads, c.records[tenant.HeadKey])
		}
	}
	figures["conductor_order_s"], figures["conductor_order_bytes"] = seconds(
		fleet.OwnCPU()-began,
	)/changedTenants, float64(
		c.bytesWritten,
	)/changedTenants
	figures["conductor_rest_s"], _, err = costPerCall(ctx, 3, func(int) { err = errors.Join(err, c.step()) })
	maps.Copy(c.records, c.removedPages)
	return heads, err
}

// order adds the order that changes the i-th tenant. Three steps complete the order, and each of them makes a
// new catalogue.
func (c *controllerModel) order(i int) {
	spec := tenantSpec(i)
	c.version++
	spec.DrainMS = int64(c.version % 60000)
	c.observation.Orders = []tenant.PendingOrder{
		{
			Key:     tenant.OrderPrefix + spec.Names[0],
			Name:    spec.Names[0],
			Version: c.version,
			Order:   tenant.Order{Format: 1, ID: fmt.Sprint(c.version), Op: tenant.OrderChange, Spec: spec},
		},
	}
}

// demandCache is a node's cache of tenants and its reader, which read tenants on demand.
type demandCache struct {
	*tenant.Cache
	*tenant.Reader
	now time.Duration
}

// read reads the records that the cache wants, and has the cache handle them.
func (d *demandCache) read(ctx context.Context) error {
	d.now += time.Second
	read, err := d.Read(ctx, func() time.Duration { return d.now }, d.Wanted())
	read.Enrolled = true
	d.Handle(d.now, read)
	return err
}

// TenantsOnDemand measures a node that reads only the tenants that its requests name, and the controller that
// writes the catalogue, by the number of tenants.
func TenantsOnDemand(ctx context.Context, run Run, sizes []int, report func(Point)) error {
	return run.points(
		ctx,
		"tenants-demand",
		"tenants",
		sizes,
		nil,
		report,
		func(n int) (map[string]float64, error) {
			heapAtStart, _ := heapUse()
			controller, err := newControllerModel(n)
			if err != nil {
				return nil, err
			}
			figures := map[string]float64{}
			heapBefore, _ := heapUse()
			figures["conductor_memory_bytes"] = heapBefore - heapAtStart // includes the records
			cache := &demandCache{
				Cache:  tenant.NewCache(1, 0, true),
				Reader: &tenant.Reader{Source: &controller.recordStore},
				now:    time.Second,
			}
			cache.Handle(
				cache.now,
				tenant.PolicyChanged{
					PolicyTable: tenant.PolicyTable{Version: 1, HasLimit: func(string) bool { return true }},
				},
			)
			cache.Handle(cache.now, tenant.SessionOpened{TTL: time.Hour})
			if err := cache.read(ctx); err != nil {
				return nil, err
			}
			figures["start_bytes"] = controller.takeBytesRead()
			began, used := fleet.OwnCPU(), min(n, workingSetTenants)
			for i := range used {
				cache.Handle(cache.now, tenant.LeafMissing{Name: tenantSpec(i * n / used).Names[0]})
				if i%64 == 63 || i == used-1 {
					if err := cache.read(ctx); err != nil {
						return nil, err
					}
				}
			}
			figures["working_bytes"], figures["working_s"], figures["known"] = controller.takeBytesRead(), seconds(
				fleet.OwnCPU()-began,
			), float64(
				cache.TenantCount(),
			)
			heapAfter, _ := heapUse()
			figures["memory_bytes"] = heapAfter - heapBefore

			heads, err := controller.changeTenants(ctx, figures)
			if err != nil {
				return nil, err
			}
			// so that the following figures do not include their garbage
			controller.machine, controller.observation, controller.removedPages = nil, tenant.Observation{}, nil
			_, allocationsBefore := heapUse()
			began = fleet.OwnCPU()
			for _, head := range heads {
				controller.records[tenant.HeadKey] = head
				if err := cache.read(ctx); err != nil {
					return nil, err
				}
			}
			took := seconds(fleet.OwnCPU() - began)
			_, allocationsAfter := heapUse()
			catalogues := float64(len(heads))
			figures["change_s"], figures["change_pieces"], figures["change_bytes"] =
				took/catalogues, (allocationsAfter-allocationsBefore)/catalogues, controller.takeBytesRead()/catalogues
			runtime.KeepAlive(cache)
			return figures, err
		},
	)
}
