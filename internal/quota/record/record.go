// Package record is the one definition of what the registry keeps of policies and of the allocator of
// their limits, for those who write it and for those who follow it.
package record

import (
	"encoding/json"
	"fmt"
	"slices"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
	"wrenspread/ratelimit"
)

// Keys of records.
const (
	PolicyPrefix = "policy/"
	CurrentKey   = PolicyPrefix + "current" // the table that holds: its canonical bytes, version 0
	QuotaPrefix  = "quota/"
	AllocatorKey = QuotaPrefix + "holder" // which process is the allocator
)

// AllocatorRecord is the process that allocates quotas. A proxy takes one with a higher fencing token than
// any before.
type AllocatorRecord struct {
	Name  string `json:"name"` // of its member of membership
	Token uint64 `json:"fence"`
}

// DecodeTable reads a table. Its version is that of its record; a record that is gone is version 0 and no
// table.
func DecodeTable(r registry.Record) (*ratelimit.Table, error) {
	if r.Version == 0 {
		return nil, nil
	}
	t, err := ratelimit.Read(r.Value)
	if err != nil {
		return nil, fmt.Errorf("record %s of version %d: %w", r.Key, r.Version, err)
	}
	t.Version = r.Version
	return t, nil
}

// EncodeTable returns the value that a table's record has.
func EncodeTable(t *ratelimit.Table) (json.RawMessage, error) {
	raw := t.JSON()
	if len(raw) > registry.MaxRecord {
		return nil, fmt.Errorf(
			"the table has %d bytes, a record %d at most: use fewer limits, or shorter names",
			len(raw),
			registry.MaxRecord,
		)
	}
	return raw, nil
}

// Find returns the record of a key; one that is not there has version 0.
func Find(all client.Records, key string) registry.Record {
	i := slices.IndexFunc(all.All, func(r registry.Record) bool { return r.Key == key })
	if i < 0 {
		return registry.Record{Key: key}
	}
	return all.All[i]
}

// ReadAllocator reads the record of the allocator.
func ReadAllocator(r registry.Record) (s AllocatorRecord, err error) {
	if r.Version == 0 {
		return s, nil
	}
	if err := json.Unmarshal(r.Value, &s); err != nil {
		return AllocatorRecord{}, fmt.Errorf("record %s: %w", r.Key, err)
	}
	return s, nil
}
