package tenant

import (
	"context"
	"fmt"
	"slices"
	"time"

	"indigotack/internal/list/client"
)

// Reader reads the catalogue for a node's Desk, from the list service as it is now.
// Pages that it has already are not read again. It is for one goroutine at a time.
type Reader struct {
	List   *client.Client
	Member Member // as the book has to have the node

	image   *Image
	entries map[string][]*Entry // of the pages of image, by digest
}

// readTries is how often the catalogue may change while it is read.
const readTries = 3

// Read reads the book and then the catalogue. clock is the node's, of its Desk.
func (r *Reader) Read(ctx context.Context, clock func() time.Duration) (Read, error) {
	got := Read{Began: clock()}
	var b Book
	if _, err := record(ctx, r.List, BookKey, &b); err != nil {
		return got, err
	}
	got.Enrolled = slices.Contains(b.Members, r.Member)
	var err error
	for range readTries {
		if got.Image, err = r.catalogue(ctx); !none(err) {
			return got, err
		}
	}
	return got, fmt.Errorf("tenant: the catalogue changes too fast: %w", err)
}

// catalogue reads the head and the pages that are missing; nil where there is no
// catalogue yet. A page that has gone in between is an error with 404.
func (r *Reader) catalogue(ctx context.Context) (*Image, error) {
	one, err := r.List.Record(ctx, HeadKey)
	if none(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	head, err := DecodeHead(one.Value)
	if err != nil {
		return nil, err
	}
	if r.image != nil && r.image.Number == head.Number {
		return r.image, nil
	}
	entries := map[string][]*Entry{}
	for _, digest := range head.Pages {
		if digest == "" {
			continue
		}
		if has, ok := r.entries[digest]; ok {
			entries[digest] = has
			continue
		}
		p, err := r.List.Record(ctx, PagePrefix+digest)
		if err != nil {
			return nil, err
		}
		if entries[digest], err = decodePage(digest, p.Value); err != nil {
			return nil, err
		}
	}
	image, err := join(head, entries)
	if err == nil {
		r.image, r.entries = image, entries
	}
	return image, err
}
