package proxy

import (
	"hash/fnv"
	"io"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

// endpointIDs assigns each endpoint an ID, a hash of its name, so that the IDs are the same in all proxies
// and in all processes of a proxy.
type endpointIDs struct {
	byName   map[string]balancer.EndpointID
	byID     map[balancer.EndpointID]string
	hashName func(string) uint32
}

func newEndpointIDs() *endpointIDs {
	return &endpointIDs{
		byName: map[string]balancer.EndpointID{},
		byID:   map[balancer.EndpointID]string{},
		hashName: func(s string) uint32 {
			h := fnv.New32a()
			besteffort.Response(io.WriteString(h, s)) // a write to a hash never fails
			return h.Sum32()
		},
	}
}

// idOf returns the ID of a name and assigns one if the name has none. If two names have the same hash, the
// later name is hashed again with a suffix: two endpoints with one ID would share their load and their
// drains.
func (d *endpointIDs) idOf(name string) balancer.EndpointID {
	if id, ok := d.byName[name]; ok {
		return id
	}
	id := balancer.EndpointID(d.hashName(name))
	for salted := name; ; id = balancer.EndpointID(d.hashName(salted)) {
		if _, inUse := d.byID[id]; !inUse {
			break
		}
		salted += "\x00"
	}
	d.byName[name], d.byID[id] = id, name
	return id
}

// forget removes a name, so that its ID can be assigned to another one.
func (d *endpointIDs) forget(name string) {
	delete(d.byID, d.byName[name])
	delete(d.byName, name)
}
