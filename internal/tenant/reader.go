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

// Source provides the registry's records. It is the registry's client or, in simulations that are too large
// for a registry, a replacement. The error for a missing record is a client.Error with status 404.
type Source interface {
	Record(ctx context.Context, key string) (registry.Record, error)
}

// Reader reads the current catalogue from the registry for a proxy's Cache. It does not read pages again that
// it has cached. It must be used by one goroutine at a time.
type Reader struct {
	Source Source
	Member Member // the proxy's entry in the member record when it is enrolled

	snapshot *Snapshot
	leaves   []int            // leaves that were wanted in snapshot
	pages    map[string]*page // cached pages by digest: those of snapshot, and at most about as many others
}

// readAttempts is the number of attempts to read a catalogue that changes while it is read.
const readAttempts = 3

// Read reads the member record and then the wanted leaves of the catalogue. clock returns the time of the
// proxy's Cache.
func (r *Reader) Read(
	ctx context.Context,
	clock func() time.Duration,
	want WantedLeaves,
) (CatalogueRead, error) {
	result := CatalogueRead{StartedAt: clock()}
	var members MemberRecord
	if _, err := readRecord(ctx, r.Source, MembersKey, &members); err != nil {
		return result, err
	}
	result.Enrolled = slices.Contains(members.Members, r.Member)
	var err error
	for range readAttempts {
		if result.Snapshot, err = r.catalogue(ctx, want); !isNotFound(err) {
			return result, err
		}
	}
	return result, fmt.Errorf("tenant: read catalogue: changed during all %d attempts: %w", readAttempts, err)
}

// catalogue reads the head and the missing pages. The result is nil if there is no catalogue yet. The error
// is a client.Error with status 404 if a page has been deleted meanwhile.
func (r *Reader) catalogue(ctx context.Context, want WantedLeaves) (*Snapshot, error) {
	record, err := r.Source.Record(ctx, HeadKey)
	if isNotFound(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	head, err := DecodeHead(record.Value)
	if err != nil {
		return nil, err
	}
	leaves := want.forLevels(head.Levels)
	if r.snapshot != nil && r.snapshot.Number == head.Number &&
		(r.snapshot.complete || !want.complete && slices.Equal(leaves, r.leaves)) {
		return r.snapshot, nil
	}
	if r.pages == nil || len(r.pages) > maxRetainedPages {
		r.pages = map[string]*page{}
	}
	for {
		walk := assemble(head, r.pages, want.complete, leaves, nil)
		if walk.err != nil {
			return nil, walk.err
		}
		if len(walk.missing) == 0 {
			r.snapshot, r.leaves = walk.snapshot, leaves
			if len(r.pages) > 2*walk.usedCount+fanOut {
				used := map[string]*page{}
				assemble(head, r.pages, want.complete, leaves, used)
				r.pages = used
			}
			return r.snapshot, nil
		}
		if err := r.fetch(ctx, walk.missing); err != nil {
			return nil, err
		}
	}
}

// maxRetainedPages bounds the cached pages, which include pages of failed reads. If there are more, the next
// read drops all of them first.
const maxRetainedPages = 1 << 17

// fetch reads the pages with the given digests into r.pages, each page once and with a call of its own, up to
// maxParallelCalls at a time. It does not check whether a page is cached; the caller passes missing pages
// only. If a read fails, fetch returns the first error, and the pages that were read stay cached.
func (r *Reader) fetch(ctx context.Context, digests []string) error {
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelCalls)
	for _, digest := range slices.Compact(slices.Sorted(slices.Values(digests))) {
		g.Go(func() error {
			record, err := r.Source.Record(ctx, PagePrefix+digest)
			if err != nil {
				return err
			}
			p, err := decodePage(digest, record.Value)
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
