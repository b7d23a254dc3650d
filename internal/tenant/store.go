package tenant

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"golang.org/x/sync/errgroup"

	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// RecordStore is a Store in the registry. It writes under the controller's fencing token.
type RecordStore struct {
	Registry *client.Client
	Token    registry.FencingToken

	mu         sync.Mutex
	seenOrders map[string]registry.Record // the pending orders that were read last, by key
}

// hasCode reports whether an error is a response of the registry with a code.
func hasCode(err error, code registry.Code) bool {
	var response *client.Error
	return errors.As(err, &response) && response.Code == string(code)
}

// readRecords reads the current records whose keys have a prefix. It skips records that are deleted
// meanwhile. It does not read records again that seen, by key, has in the listed version.
func readRecords(
	ctx context.Context,
	reg *client.Client,
	prefix string,
	seen map[string]registry.Record,
) ([]registry.Record, error) {
	keys, err := reg.Records(ctx, prefix)
	if err != nil {
		return nil, err
	}
	records := make([]registry.Record, len(keys))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelCalls)
	for i, listed := range keys {
		if cached, ok := seen[listed.Key]; ok && cached.Version == listed.Version {
			records[i] = cached
			continue
		}
		g.Go(func() error {
			r, err := reg.Record(ctx, listed.Key)
			if isNotFound(err) {
				return nil
			}
			records[i] = r
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	found := records[:0]
	for _, r := range records {
		if r.Key != "" {
			found = append(found, r)
		}
	}
	return found, nil
}

// readRecord decodes a record into v and returns its version. The version of a missing record is 0.
func readRecord(ctx context.Context, source Source, key string, v any) (uint64, error) {
	r, err := source.Record(ctx, key)
	if isNotFound(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(r.Value, v); err != nil {
		return 0, fmt.Errorf("tenant: decode record %s: %w", key, err)
	}
	return r.Version, nil
}

// Stored reads the state from which a controller starts.
func (r *RecordStore) Stored(ctx context.Context) (s Stored, err error) {
	return ReadStored(ctx, r.Registry)
}

// ReadStored reads the records of all tenants, the member record and the catalogue. If another process holds
// the lease, the catalogue may change while it is read; ReadStored then reads it again.
func ReadStored(ctx context.Context, reg *client.Client) (stored Stored, err error) {
	tenants, err := readRecords(ctx, reg, TenantPrefix, nil)
	if err != nil {
		return stored, err
	}
	for _, record := range tenants {
		t, err := DecodeTenant(record.Value, record.Version)
		if err != nil {
			return stored, err
		}
		stored.Tenants = append(stored.Tenants, t)
	}
	if stored.MembersVersion, err = readRecord(ctx, reg, MembersKey, &stored.Members); err != nil {
		return stored, err
	}
	for range readAttempts {
		if err = stored.catalogue(ctx, reg); !errors.Is(err, errPageMissing) {
			break
		}
	}
	return stored, err
}

// catalogue reads the head, and then all pages on record.
func (s *Stored) catalogue(ctx context.Context, reg *client.Client) error {
	record, err := reg.Record(ctx, HeadKey)
	if err != nil && !isNotFound(err) {
		return err
	}
	hasHead := err == nil
	found, err := readRecords(ctx, reg, PagePrefix, nil)
	if err != nil {
		return err
	}
	pages := map[string]*page{}
	s.Pages = map[string]uint64{}
	for _, p := range found {
		digest, _ := keyName(p.Key, PagePrefix)
		if pages[digest], err = decodePage(digest, p.Value); err != nil {
			return err
		}
		s.Pages[digest] = p.Version
	}
	if !hasHead {
		return nil
	}
	if s.Head, err = DecodeHead(record.Value); err != nil {
		return err
	}
	s.HeadVersion = record.Version
	walk := assemble(s.Head, pages, true, nil, nil)
	s.Snapshot = walk.snapshot
	if len(walk.missing) > 0 {
		return fmt.Errorf("%w: page %s of catalogue %d", errPageMissing, walk.missing[0], s.Head.Number)
	}
	return walk.err
}

// Sessions returns the proxies' current sessions.
func (r *RecordStore) Sessions(ctx context.Context) ([]Session, error) {
	return ReadSessions(ctx, r.Registry)
}

// ReadSessions returns the proxies' current sessions.
func ReadSessions(ctx context.Context, reg *client.Client) (sessions []Session, err error) {
	leases, err := reg.Leases(ctx)
	for _, s := range leases.Sessions {
		if status, ok := ParseStatus(s.Info.Note); ok {
			sessions = append(sessions, Session{s.Process, status})
		}
	}
	return sessions, err
}

// PendingOrders returns the orders that wait. An invalid order gets the unknown operation "unreadable", so
// that the controller records its rejection.
func (r *RecordStore) PendingOrders(ctx context.Context) (orders []PendingOrder, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := map[string]registry.Record{}
	for _, prefix := range []string{ForgetPrefix, OrderPrefix} {
		found, err := readRecords(ctx, r.Registry, prefix, r.seenOrders)
		if err != nil {
			return nil, err
		}
		for _, record := range found {
			next[record.Key] = record
			order := PendingOrder{Version: record.Version}
			order.Name, _ = keyName(record.Key, prefix)
			if json.Unmarshal(record.Value, &order.Order) != nil ||
				order.Order.Format != documentFormat || order.Order.ID == "" ||
				(prefix == ForgetPrefix) != (order.Order.Op == OrderForgetMember) {
				order.Order = Order{ID: fmt.Sprint("unreadable-", record.Version), Op: "unreadable"}
			}
			order.Key = record.Key
			orders = append(orders, order)
		}
	}
	r.seenOrders = next
	return orders, nil
}

// Put carries out a write under the fencing token, and returns the record's version after the write.
func (r *RecordStore) Put(ctx context.Context, write RecordWrite) (uint64, error) {
	expected := &write.Version
	if write.Unconditional {
		expected = nil
	}
	response, err := r.Registry.WithToken(r.Token).Put(ctx, write.Key, write.Value, expected)
	switch {
	case hasCode(err, registry.StaleToken):
		return 0, fmt.Errorf("%w: %w", ErrSuperseded, err)
	case write.Value == nil && isNotFound(err): // the record has been deleted already
		return 0, nil
	}
	return response.EntryVersion, err
}

// SubmitOrder writes an order for the controller. It returns false if another order with the same name waits.
func SubmitOrder(ctx context.Context, reg *client.Client, name string, order Order) (bool, error) {
	order.Format = documentFormat
	raw, err := json.Marshal(order)
	if err != nil {
		return false, err
	}
	absent := uint64(0)
	_, err = reg.Put(ctx, orderKey(order.Op, name), raw, &absent)
	if hasCode(err, registry.Conflict) {
		return false, nil
	}
	return err == nil, err
}

// OrderPending reports whether an order still waits for the controller.
func OrderPending(ctx context.Context, reg *client.Client, name string, order Order) (bool, error) {
	var pending Order
	version, err := readRecord(ctx, reg, orderKey(order.Op, name), &pending)
	return version > 0 && pending.ID == order.ID, err
}
