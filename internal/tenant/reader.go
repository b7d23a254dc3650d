package tenant

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wrenspread/internal/registry"
)

// Source has the records: the registry's client, or what stands for it where that is
// too small. One that is not there is a client.Refused with 404.
type Source interface {
	Record(ctx context.Context, key string) (registry.Record, error)
}

// Reader reads the catalogue for a proxy's Cache, from the registry as it is now. Pages that it has already
// are not read again. It is for one goroutine at a time.
type Reader struct {
	Source Source
	Member Member // as the member record has to have the proxy

	snapshot *Snapshot
	leaves   []int            // of snapshot, that were wanted
	pages    map[string]*page // that it was made of, and as many more, by digest
}

// readAttempts is how often the catalogue may change while it is read.
const readAttempts = 3

// Read reads the member record and then the catalogue, as far as it is wanted. clock is the proxy's, of its
// Cache.
func (r *Reader) Read(
	ctx context.Context,
	clock func() time.Duration,
	want WantedLeaves,
) (CatalogueRead, error) {
	got := CatalogueRead{StartedAt: clock()}
	var b MemberRecord
	if _, err := readRecord(ctx, r.Source, MembersKey, &b); err != nil {
		return got, err
	}
	got.Enrolled = slices.Contains(b.Members, r.Member)
	var err error
	for range readAttempts {
		if got.Snapshot, err = r.catalogue(ctx, want); !isNotFound(err) {
			return got, err
		}
	}
	return got, fmt.Errorf("tenant: the catalogue changes too fast: %w", err)
}

// catalogue reads the head and the pages that are missing; nil where there is no
// catalogue yet. A page that has gone in between is an error with 404.
func (r *Reader) catalogue(ctx context.Context, want WantedLeaves) (*Snapshot, error) {
	one, err := r.Source.Record(ctx, HeadKey)
	if isNotFound(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	head, err := DecodeHead(one.Value)
	if err != nil {
		return nil, err
	}
	parts := want.since(head.Levels)
	if r.snapshot != nil && r.snapshot.Number == head.Number &&
		(r.snapshot.complete || !want.complete && slices.Equal(parts, r.leaves)) {
		return r.snapshot, nil
	}
	if r.pages == nil || len(r.pages) > maxKeptPages {
		r.pages = map[string]*page{}
	}
	for {
		w := assemble(head, r.pages, want.complete, parts, nil)
		if w.err != nil {
			return nil, w.err
		}
		if len(w.missing) == 0 {
			r.snapshot, r.leaves = w.snapshot, parts
			if len(r.pages) > 2*w.count+fanOut {
				used := map[string]*page{}
				assemble(head, r.pages, want.complete, parts, used)
				r.pages = used
			}
			return r.snapshot, nil
		}
		if err := r.fetch(ctx, w.missing); err != nil {
			return nil, err
		}
	}
}

// maxKeptPages pages are kept of reads that failed, besides.
const maxKeptPages = 1 << 17

// fetch reads the pages that are missing on one level, some at a time.
func (r *Reader) fetch(ctx context.Context, digests []string) error {
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelWrites)
	for _, digest := range slices.Compact(slices.Sorted(slices.Values(digests))) {
		g.Go(func() error {
			one, err := r.Source.Record(ctx, PagePrefix+digest)
			if err != nil {
				return err
			}
			p, err := decodePage(digest, one.Value)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				r.pages[digest] = p
			}
			return err
		})
	}
	return g.Wait()
}
