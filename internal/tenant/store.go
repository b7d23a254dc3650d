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

// Records keeps tenants in the list service, under the conductor's fence.
type Records struct {
	List  *client.Client
	Fence registry.FencingToken

	mu   sync.Mutex
	seen map[string]registry.Record // orders by key, as far as they were read
}

// is tells whether the service's refusal has a code.
func is(err error, code registry.Code) bool {
	var r *client.Error
	return errors.As(err, &r) && r.Code == string(code)
}

// values reads the records under a prefix, as they are now. One that goes in between is passed over.
func values(ctx context.Context, k *client.Client, prefix string, seen map[string]registry.Record) ([]registry.Record, error) {
	keys, err := k.Records(ctx, prefix)
	if err != nil {
		return nil, err
	}
	all := make([]registry.Record, len(keys))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(together)
	for i, one := range keys {
		if old, ok := seen[one.Key]; ok && old.Version == one.Version {
			all[i] = old
			continue
		}
		g.Go(func() error {
			r, err := k.Record(ctx, one.Key)
			if none(err) {
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

// record reads one record into v; a record that is not there has version 0.
func record(ctx context.Context, k Source, key string, v any) (uint64, error) {
	r, err := k.Record(ctx, key)
	if none(err) {
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

// Stored reads all that a conductor begins from.
func (r *Records) Stored(ctx context.Context) (s Stored, err error) { return ReadStored(ctx, r.List) }

// ReadStored reads all that is on record. The catalogue may change while it is read by
// one who does not hold the fence; then it is read again.
func ReadStored(ctx context.Context, k *client.Client) (s Stored, err error) {
	tenants, err := values(ctx, k, Prefix, nil)
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
	if s.BookVersion, err = record(ctx, k, BookKey, &s.Book); err != nil {
		return s, err
	}
	for range readTries {
		if err = s.catalogue(ctx, k); !errors.Is(err, errMissing) {
			break
		}
	}
	return s, err
}

// catalogue reads the head and then all pages that there are.
func (s *Stored) catalogue(ctx context.Context, k *client.Client) error {
	one, err := k.Record(ctx, HeadKey)
	if err != nil && !none(err) {
		return err
	}
	there := err == nil
	found, err := values(ctx, k, PagePrefix, nil)
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
	w := gather(s.Head, pages, true, nil, nil)
	s.Image = w.image
	if len(w.missing) > 0 {
		return fmt.Errorf("%w: page %s of catalogue %d", errMissing, w.missing[0], s.Head.Number)
	}
	return w.err
}

// Sessions gives the nodes' sessions.
func (r *Records) Sessions(ctx context.Context) ([]Session, error) { return ReadSessions(ctx, r.List) }

// ReadSessions gives the nodes' sessions, as they are now.
func ReadSessions(ctx context.Context, k *client.Client) (all []Session, err error) {
	a, err := k.Leases(ctx)
	for _, s := range a.Sessions {
		if w, ok := ParseWord(s.Info.Note); ok {
			all = append(all, Session{s.Process, w})
		}
	}
	return all, err
}

// Asks gives the orders that wait. One that can't be read is no order, which goes on record.
func (r *Records) Asks(ctx context.Context) (all []Ask, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := map[string]registry.Record{}
	for _, prefix := range []string{ForgetPrefix, AskPrefix} {
		found, err := values(ctx, r.List, prefix, r.seen)
		if err != nil {
			return nil, err
		}
		for _, one := range found {
			next[one.Key] = one
			a := Ask{Version: one.Version}
			a.Name, _ = keyName(one.Key, prefix)
			if json.Unmarshal(one.Value, &a.Order) != nil || a.Order.V != form || a.Order.ID == "" || (prefix == ForgetPrefix) != (a.Order.Do == Forget) {
				a.Order = Order{ID: fmt.Sprint("unreadable-", one.Version), Do: "unreadable"}
			}
			a.Key = one.Key
			all = append(all, a)
		}
	}
	r.seen = next
	return all, nil
}

// Put carries a write out under the fence.
func (r *Records) Put(ctx context.Context, p Put) (uint64, error) {
	cond := &p.Version
	if p.Free {
		cond = nil
	}
	got, err := r.List.WithToken(r.Fence).Put(ctx, p.Key, p.Value, cond)
	switch {
	case is(err, registry.StaleToken):
		return 0, fmt.Errorf("%w: %w", ErrTaken, err)
	case p.Value == nil && none(err): // it is gone already
		return 0, nil
	}
	return got.EntryVersion, err
}

// Place leaves an order for the conductor. One at a time waits; false where there is one.
func Place(ctx context.Context, k *client.Client, name string, o Order) (bool, error) {
	o.V = form
	raw, err := json.Marshal(o)
	if err != nil {
		return false, err
	}
	absent := uint64(0)
	_, err = k.Put(ctx, askKey(o.Do, name), raw, &absent)
	if is(err, registry.Conflict) {
		return false, nil
	}
	return err == nil, err
}

// Waiting tells whether an order still waits to be taken.
func Waiting(ctx context.Context, k *client.Client, name string, o Order) (bool, error) {
	var waits Order
	version, err := record(ctx, k, askKey(o.Do, name), &waits)
	return version > 0 && waits.ID == o.ID, err
}
