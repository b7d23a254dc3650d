package allocator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"wrenspread/internal/lease"
	"wrenspread/internal/quota"
	quotarecord "wrenspread/internal/quota/record"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// RecordKey is the key of the record of enrolled proxies.
const RecordKey = "fleet/nodes"

// registryTimeout bounds one registry request with its retries. No other write starts before the request has
// ended.
const registryTimeout = 2 * time.Second

// recordFormat is the only value of slotRecord.Format that this version reads and writes.
const recordFormat = 1

// slotRecord is the record of enrolled proxies as the registry stores it. Records of other formats are
// rejected, so only a process whose version knows the format can be the allocator.
type slotRecord struct {
	Format int          `json:"format"`
	Slots  []quota.Slot `json:"seats"`
}

// readSlots returns the slots and the record's version; without a record the version is 0.
func readSlots(ctx context.Context, registryClient *client.Client) ([]quota.Slot, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	got, err := registryClient.Record(ctx, RecordKey)
	var registryErr *client.Error
	if errors.As(err, &registryErr) && registryErr.Code == string(registry.NotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read record %s: %w", RecordKey, err)
	}
	var record slotRecord
	if err := json.Unmarshal(got.Value, &record); err != nil {
		return nil, 0, fmt.Errorf("decode record %s: %w", RecordKey, err)
	}
	if record.Format != recordFormat {
		return nil, 0, fmt.Errorf(
			"decode record %s: unsupported format %d, want %d",
			RecordKey,
			record.Format,
			recordFormat,
		)
	}
	return record.Slots, got.Version, nil
}

// announce writes the record by which proxies learn that this process is the allocator.
func announce(ctx context.Context, registryClient *client.Client, token lease.Token, name string) error {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	value, err := json.Marshal(quotarecord.AllocatorRecord{Name: name, Token: token.Number})
	if err == nil {
		_, err = registryClient.WithToken(token).Put(ctx, quotarecord.AllocatorKey, value, nil)
	}
	if err != nil {
		return fmt.Errorf("write record %s: %w", quotarecord.AllocatorKey, err)
	}
	return nil
}

// writeSlots replaces the record RecordKey under the fencing token, if the record still has the given
// version; version 0 means that there is no record yet. It returns the record's new version.
func writeSlots(
	ctx context.Context,
	registryClient *client.Client,
	token lease.Token,
	slots []quota.Slot,
	version uint64,
) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	value, err := json.Marshal(slotRecord{recordFormat, slots})
	if err != nil {
		return 0, fmt.Errorf("encode record %s: %w", RecordKey, err)
	}
	r, err := registryClient.WithToken(token).Put(ctx, RecordKey, value, &version)
	if err != nil {
		return 0, fmt.Errorf("write record %s: %w", RecordKey, err)
	}
	return r.EntryVersion, nil
}
