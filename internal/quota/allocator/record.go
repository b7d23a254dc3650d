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

// RecordKey is the record of enrolled proxies.
const RecordKey = "fleet/nodes"

// registryTimeout is how long one call to the registry may take, over its failures. Until it has ended,
// nothing else is written.
const registryTimeout = 2 * time.Second

const format = 1

// slotRecord is what the registry keeps. A later format is refused: its allocator has to be of a version that
// knows it.
type slotRecord struct {
	Format int          `json:"format"`
	Slots  []quota.Slot `json:"seats"`
}

// readSlots returns the slots and the record's version, 0 if there is none.
func readSlots(ctx context.Context, k *client.Client) ([]quota.Slot, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	got, err := k.Record(ctx, RecordKey)
	var no *client.Error
	if errors.As(err, &no) && no.Code == string(registry.NotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("reading %s: %w", RecordKey, err)
	}
	var r slotRecord
	if err := json.Unmarshal(got.Value, &r); err != nil {
		return nil, 0, fmt.Errorf("reading %s: %w", RecordKey, err)
	}
	if r.Format != format {
		return nil, 0, fmt.Errorf("%s has format %d, this program knows %d", RecordKey, r.Format, format)
	}
	return r.Slots, got.Version, nil
}

// announce tells the proxies which process is the allocator from now on.
func announce(ctx context.Context, k *client.Client, f lease.Token, name string) error {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	value, err := json.Marshal(quotarecord.AllocatorRecord{Name: name, Token: f.Number})
	if err == nil {
		_, err = k.WithToken(f).Put(ctx, quotarecord.AllocatorKey, value, nil)
	}
	if err != nil {
		return fmt.Errorf("writing %s: %w", quotarecord.AllocatorKey, err)
	}
	return nil
}

// writeSlots replaces the record that has a version, under the fencing token, and gives its next one.
func writeSlots(
	ctx context.Context,
	k *client.Client,
	f lease.Token,
	seats []quota.Slot,
	version uint64,
) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	value, err := json.Marshal(slotRecord{format, seats})
	if err != nil {
		return 0, fmt.Errorf("writing %s: %w", RecordKey, err)
	}
	r, err := k.WithToken(f).Put(ctx, RecordKey, value, &version)
	if err != nil {
		return 0, fmt.Errorf("writing %s: %w", RecordKey, err)
	}
	return r.EntryVersion, nil
}
