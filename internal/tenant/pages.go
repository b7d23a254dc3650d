package tenant

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"wrenspread/internal/registry"
)

// The catalogue is written as a head and pages, which are named by their digests and never change: a new
// catalogue is some new pages and, by one write, another head. So it is taken as a whole. In the flat form
// the head names 32 leaves with entries, by the hash of a tenant's own name; who reads it reads all. In the
// form of a hash tree (Merkle tree) it names pages that name pages, and the leaves have entries by the hash
// of each name that requests use: who has a request's name finds its leaf by levels-1 pages between.
const (
	fanBits = 5
	// pages that the head names, or a page between: a head has 1.2 kB
	fanOut = 1 << fanBits
	// tenants for a leaf, on average, at which the tree gets another level
	leafSize  = 16
	minDepth  = 2                                            // of a tree
	maxDepth  = 4                                            // 1,048,576 leaves
	treePages = 1<<(3*fanBits) + 1<<(2*fanBits) + 1<<fanBits // of three levels
	// of a head; programs that know the flat form alone refuse it
	treeFormat = 2
)

// Head names the catalogue's uppermost pages by their digests.
type Head struct {
	Format      int          `json:"v"`
	Number      uint64       `json:"number"`           // of the catalogue; each is higher than the last
	Levels      int          `json:"levels,omitempty"` // of pages below the head of a tree; 0: the flat form
	Pages       []string     `json:"pages"`            // digests; "" for one without entries
	PolicyNeeds []PolicyNeed `json:"needs,omitempty"`  // what a proxy can't see that has not read all leaves
}

// PolicyNeed says that some next specs, the first of them new in a catalogue, have their limits in a policy's
// table: a proxy without it has not prepared them, whether it holds them or not.
type PolicyNeed struct {
	Policy uint64 `json:"policy"`
	Since  uint64 `json:"since"`
}

// page is a leaf, with entries, or a page between, with digests.
type page struct {
	Format  int      `json:"v"`
	Entries []*Entry `json:"entries,omitempty"` // by name
	Pages   []string `json:"pages,omitempty"`

	leaf *Leaf
}

// hash is FNV-1a. A request costs it once, without allocation.
func hash(name string) uint32 {
	h := uint32(2166136261)
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return h
}

// leafOf returns the leaf of a name, by the number of levels.
func leafOf(name string, levels int) int { return int(hash(name)) & (1<<(fanBits*levels) - 1) }

// leavesOf returns the leaves of an entry: in the flat form that of the tenant, in a tree those of all names
// that requests use.
func leavesOf(e *Entry, levels int) (all []int) {
	if levels == 0 {
		return []int{leafOf(e.Name, 1)}
	}
	for _, name := range e.names() {
		all = append(all, leafOf(name, levels))
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// encode gives a page with its digest; "" for one that has nothing.
func (p *page) encode() (digest string, raw []byte, err error) {
	if len(p.Entries) == 0 && !slices.ContainsFunc(p.Pages, func(d string) bool { return d != "" }) {
		return "", nil, nil
	}
	p.Format = format
	if raw, err = json.Marshal(p); err != nil {
		return "", nil, fmt.Errorf("tenant: a page of the catalogue: %w", err)
	}
	if len(raw) > registry.MaxRecordValueBytes {
		return "", nil, fmt.Errorf(
			"tenant: a page of the catalogue has %d bytes, %d at most",
			len(raw),
			registry.MaxRecordValueBytes,
		)
	}
	return digestOf(raw), raw, nil
}

func digestOf(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:16])
}

// DecodeHead reads a head.
func DecodeHead(raw []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(raw, &h); err != nil {
		return h, fmt.Errorf("tenant: the catalogue's head can't be read: %w", err)
	}
	flat := h.Format == format && h.Levels == 0 && len(h.Pages) <= 1024
	tree := h.Format == treeFormat && h.Levels >= minDepth && h.Levels <= maxDepth && len(h.Pages) == fanOut
	if !flat && !tree {
		return h, fmt.Errorf(
			"tenant: a catalogue of form %d with %d pages on %d levels, this program knows forms %d and %d",
			h.Format,
			len(h.Pages),
			h.Levels,
			format,
			treeFormat,
		)
	}
	return h, nil
}

// decodePage reads a page, which must be what its digest says.
func decodePage(digest string, raw []byte) (*page, error) {
	if digestOf(raw) != digest {
		return nil, fmt.Errorf("tenant: page %s of the catalogue is another", digest)
	}
	p := &page{}
	if err := json.Unmarshal(raw, p); err != nil {
		return nil, fmt.Errorf("tenant: page %s of the catalogue: %w", digest, err)
	}
	if slices.ContainsFunc(p.Entries, func(e *Entry) bool { return e == nil || e.Name == "" }) {
		return nil, fmt.Errorf("tenant: page %s of the catalogue has an entry without a name", digest)
	}
	p.leaf = &Leaf{p.Entries, len(raw)}
	return p, nil
}

// errMissing tells of a page that has gone: there is a newer head.
var errMissing = errors.New("tenant: a page is not there")

// treeWalk is a way from a head down to some leaves.
type treeWalk struct {
	Head
	known    map[string]*page // by digest
	complete bool             // to all leaves
	snapshot *Snapshot
	used     map[string]*page // those of them on the way; nil: nobody asks
	count    int              // of them
	missing  []string
	err      error
}

// assemble makes the catalogue of a head, complete or with the leaves that are wanted (sorted), from pages by
// digest. A page that is not there is reported as missing: then there is no catalogue yet.
func assemble(h Head, have map[string]*page, whole bool, parts []int, used map[string]*page) *treeWalk {
	w := &treeWalk{Head: h, known: have, used: used, complete: whole || h.Levels == 0}
	w.snapshot = &Snapshot{
		Number:   h.Number,
		levels:   h.Levels,
		complete: w.complete,
		leaves:   map[int]*Leaf{},
		needs:    h.PolicyNeeds,
	}
	if h.Levels > 0 {
		w.descend(h.Pages, 1, 0, parts)
		return w
	}
	entries := map[string]*Entry{}
	for _, digest := range h.Pages {
		if p := w.page(digest, true); p != nil {
			for _, e := range p.Entries {
				entries[e.Name] = e
			}
		}
	}
	w.snapshot = NewSnapshot(h.Number, slices.Collect(maps.Values(entries))...)
	return w
}

// descend goes on from the digests of one page.
func (w *treeWalk) descend(digests []string, level, prefix int, parts []int) {
	for n, digest := range digests {
		at := prefix<<fanBits | n
		here := 0 // so many leaves lie below
		for here < len(parts) && parts[here]>>(fanBits*(w.Levels-level)) == at {
			here++
		}
		below := parts[:here]
		parts = parts[here:]
		switch {
		case !w.complete && here == 0 || w.complete && digest == "":
		case digest == "":
			for _, part := range below {
				w.snapshot.leaves[part] = noEntries
			}
		case level < w.Levels:
			if p := w.page(digest, false); p != nil {
				w.descend(p.Pages, level+1, at, below)
			}
		default:
			if p := w.page(digest, true); p != nil {
				w.snapshot.leaves[at] = p.leaf
			}
		}
	}
}

// page gives a page by its digest, if it is there.
func (w *treeWalk) page(digest string, leaf bool) *page {
	if digest == "" {
		return nil
	}
	p := w.known[digest]
	switch {
	case p == nil:
		w.missing = append(w.missing, digest)
	case leaf != (p.Pages == nil) || !leaf && len(p.Pages) != fanOut:
		w.err = fmt.Errorf("tenant: page %s of the catalogue is of another kind", digest)
		return nil
	default:
		if w.count++; w.used != nil {
			w.used[digest] = p
		}
	}
	return p
}
