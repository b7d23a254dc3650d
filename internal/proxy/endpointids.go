package proxy

import (
	"hash/fnv"
	"io"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

// endpointIDs gives servers their numbers: a hash of the name, so that every proxy and
// every restart agrees on them.
type endpointIDs struct {
	byName map[string]balancer.EndpointID
	byID   map[balancer.EndpointID]string
	hash   func(string) uint32
}

func newEndpointIDs() *endpointIDs {
	return &endpointIDs{
		byName: map[string]balancer.EndpointID{},
		byID:   map[balancer.EndpointID]string{},
		hash: func(s string) uint32 {
			h := fnv.New32a()
			besteffort.Response(io.WriteString(h, s)) // never fails
			return h.Sum32()
		},
	}
}

// idOf finds the number of a name. Of two names with one hash the later listed
// is hashed again: two servers under one number would share their load and
// their drains.
func (d *endpointIDs) idOf(name string) balancer.EndpointID {
	if id, ok := d.byName[name]; ok {
		return id
	}
	id := balancer.EndpointID(d.hash(name))
	for salted := name; ; id = balancer.EndpointID(d.hash(salted)) {
		if _, taken := d.byID[id]; !taken {
			break
		}
		salted += "\x00"
	}
	d.byName[name], d.byID[id] = id, name
	return id
}

func (d *endpointIDs) forget(name string) {
	delete(d.byID, d.byName[name])
	delete(d.byName, name)
}
