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

// Records keeps tenants in the registry, under the controller's fencing token.
type Records struct {
	Registry *client.Client
	Token    registry.FencingToken

	mu         sync.Mutex
	seenOrders map[string]registry.Record // orders by key, as far as they were read
}

// hasCode reports whether the registry's refusal has a code.
func hasCode(err error, code registry.Code) bool {
	var r *client.Error
	return errors.As(err, &r) && r.Code == string(code)
}

// readRecords reads the records under a prefix, as they are now. One that goes in between is passed over.
func readRecords(
	ctx context.Context,
	k *client.Client,
	prefix string,
	seen map[string]registry.Record,
) ([]registry.Record, error) {
	keys, err := k.Records(ctx, prefix)
	if err != nil {
		return nil, err
	}
	all := make([]registry.Record, len(keys))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelWrites)
	for i, one := range keys {
		if old, ok := seen[one.Key]; ok && old.Version == one.Version {
			all[i] = old
			continue
		}
		g.Go(func() error {
			r, err := k.Record(ctx, one.Key)
			if isNotFound(err) {
				return nil
			}
			all[i] = r
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	there := all[:0]
	for _, r := range all {
		if r.Key != "" {
			there = append(there, r)
		}
	}
	return there, nil
}

// readRecord reads one record into v; a record that is not there has version 0.
func readRecord(ctx context.Context, k Source, key string, v any) (uint64, error) {
	r, err := k.Record(ctx, key)
	if isNotFound(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(r.Value, v); err != nil {
		return 0, fmt.Errorf("tenant: %s can't be read: %w", key, err)
	}
	return r.Version, nil
}

// Stored reads all that a controller begins from.
func (r *Records) Stored(ctx context.Context) (s Stored, err error) {
	return ReadStored(ctx, r.Registry)
}

// ReadStored reads all that is on record. The catalogue may change while it is read by
// one who does not hold the fencing token; then it is read again.
func ReadStored(ctx context.Context, k *client.Client) (s Stored, err error) {
	tenants, err := readRecords(ctx, k, Prefix, nil)
	if err != nil {
		return s, err
	}
	for _, one := range tenants {
		t, err := DecodeTenant(one.Value, one.Version)
		if err != nil {
			return s, err
		}
		s.Tenants = append(s.Tenants, t)
	}
	if s.MembersVersion, err = readRecord(ctx, k, MembersKey, &s.Members); err != nil {
		return s, err
	}
	for range readAttempts {
		if err = s.catalogue(ctx, k); !errors.Is(err, errMissing) {
			break
		}
	}
	return s, err
}

// catalogue reads the head and then all pages that there are.
func (s *Stored) catalogue(ctx context.Context, k *client.Client) error {
	one, err := k.Record(ctx, HeadKey)
	if err != nil && !isNotFound(err) {
		return err
	}
	there := err == nil
	found, err := readRecords(ctx, k, PagePrefix, nil)
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
	if !there {
		return nil
	}
	if s.Head, err = DecodeHead(one.Value); err != nil {
		return err
	}
	s.HeadVersion = one.Version
	w := assemble(s.Head, pages, true, nil, nil)
	s.Snapshot = w.snapshot
	if len(w.missing) > 0 {
		return fmt.Errorf("%w: page %s of catalogue %d", errMissing, w.missing[0], s.Head.Number)
	}
	return w.err
}

// Sessions returns the proxies' sessions.
func (r *Records) Sessions(ctx context.Context) ([]Session, error) {
	return ReadSessions(ctx, r.Registry)
}

// ReadSessions returns the proxies' sessions, as they are now.
func ReadSessions(ctx context.Context, k *client.Client) (all []Session, err error) {
	a, err := k.Leases(ctx)
	for _, s := range a.Sessions {
		if w, ok := ParseStatus(s.Info.Note); ok {
			all = append(all, Session{s.Process, w})
		}
	}
	return all, err
}

// PendingOrders returns the orders that wait. One that can't be read is no order, which goes on record.
func (r *Records) PendingOrders(ctx context.Context) (all []PendingOrder, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := map[string]registry.Record{}
	for _, prefix := range []string{ForgetPrefix, OrderPrefix} {
		found, err := readRecords(ctx, r.Registry, prefix, r.seenOrders)
		if err != nil {
			return nil, err
		}
		for _, one := range found {
			next[one.Key] = one
			a := PendingOrder{Version: one.Version}
			a.Name, _ = keyName(one.Key, prefix)
			if json.Unmarshal(one.Value, &a.Order) != nil || a.Order.Format != format || a.Order.ID == "" ||
				(prefix == ForgetPrefix) != (a.Order.Op == OrderForgetMember) {
				a.Order = Order{ID: fmt.Sprint("unreadable-", one.Version), Op: "unreadable"}
			}
			a.Key = one.Key
			all = append(all, a)
		}
	}
	r.seenOrders = next
	return all, nil
}

// Put carries a write out under the fencing token.
func (r *Records) Put(ctx context.Context, p RecordWrite) (uint64, error) {
	cond := &p.Version
	if p.Unconditional {
		cond = nil
	}
	got, err := r.Registry.WithToken(r.Token).Put(ctx, p.Key, p.Value, cond)
	switch {
	case hasCode(err, registry.StaleToken):
		return 0, fmt.Errorf("%w: %w", ErrSuperseded, err)
	case p.Value == nil && isNotFound(err): // it is gone already
		return 0, nil
	}
	return got.EntryVersion, err
}

// SubmitOrder leaves an order for the controller. One at a time waits; false where there is one.
func SubmitOrder(ctx context.Context, k *client.Client, name string, o Order) (bool, error) {
	o.Format = format
	raw, err := json.Marshal(o)
	if err != nil {
		return false, err
	}
	absent := uint64(0)
	_, err = k.Put(ctx, orderKey(o.Op, name), raw, &absent)
	if hasCode(err, registry.Conflict) {
		return false, nil
	}
	return err == nil, err
}

// OrderPending reports whether an order still waits to be taken.
func OrderPending(ctx context.Context, k *client.Client, name string, o Order) (bool, error) {
	var waits Order
	version, err := readRecord(ctx, k, orderKey(o.Op, name), &waits)
	return version > 0 && waits.ID == o.ID, err
}
