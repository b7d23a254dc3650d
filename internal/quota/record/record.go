// Package record defines the registry records of the policy table and of the quota allocator, for the
// processes that write these records and those that watch them.
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
	CurrentKey   = PolicyPrefix + "current" // the current table, in its canonical encoding with version 0
	QuotaPrefix  = "quota/"
	AllocatorKey = QuotaPrefix + "holder" // an AllocatorRecord
)

// AllocatorRecord names the process that allocates quotas. A proxy follows the allocator with the highest
// fencing token that it has seen.
type AllocatorRecord struct {
	Name  string `json:"name"`  // the process's name as a membership member
	Token uint64 `json:"fence"` // fencing token of the lease that makes the process the allocator
}

// DecodeTable decodes the record of a table. The table gets the record's version. A missing record has
// version 0 and gives no table.
func DecodeTable(r registry.Record) (*ratelimit.Table, error) {
	if r.Version == 0 {
		return nil, nil
	}
	t, err := ratelimit.Read(r.Value)
	if err != nil {
		return nil, fmt.Errorf("decode record %s of version %d: %w", r.Key, r.Version, err)
	}
	t.Version = r.Version
	return t, nil
}

// EncodeTable returns the value of a table's record. It fails if the table is too large for a record.
func EncodeTable(t *ratelimit.Table) (json.RawMessage, error) {
	raw := t.JSON()
	if len(raw) > registry.MaxRecordValueBytes {
		return nil, fmt.Errorf(
			"encode policy table: %d bytes, a record holds at most %d: use fewer limits or shorter names",
			len(raw),
			registry.MaxRecordValueBytes,
		)
	}
	return raw, nil
}

// Find returns the record with the key; a missing record is returned with version 0.
func Find(records client.Records, key string) registry.Record {
	i := slices.IndexFunc(records.All, func(r registry.Record) bool { return r.Key == key })
	if i < 0 {
		return registry.Record{Key: key}
	}
	return records.All[i]
}

// ReadAllocator decodes the record of the allocator. A missing record gives a zero AllocatorRecord.
func ReadAllocator(r registry.Record) (allocator AllocatorRecord, err error) {
	if r.Version == 0 {
		return allocator, nil
	}
	if err := json.Unmarshal(r.Value, &allocator); err != nil {
		return AllocatorRecord{}, fmt.Errorf("decode record %s: %w", r.Key, err)
	}
	return allocator, nil
}
