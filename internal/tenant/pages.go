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

// The catalogue is written as a head and pages. Pages are named by their digests and never change: a new
// catalogue consists of some new pages and, by a single write, another head, so that it takes effect as a
// unit.
//
// In the flat form, the head names 32 leaves, in which entries are placed by the hash of the tenant's own
// name; a reader reads all leaves. In the form of a hash tree (Merkle tree), the head names inner pages,
// which name further pages, and an entry is in the leaves of all names that requests use for it. A reader
// finds the leaf of such a name by reading levels-1 inner pages.
const (
	fanBits = 5
	// fanOut is the number of pages that the head or an inner page names. It makes a head 1.2 kB long.
	fanOut = 1 << fanBits
	// tenantsPerLeaf is the average number of tenants per leaf above which the tree gets another level.
	tenantsPerLeaf = 16
	minLevels      = 2                                            // of a hash tree
	maxLevels      = 4                                            // 1,048,576 leaves
	maxInnerPages  = 1<<(3*fanBits) + 1<<(2*fanBits) + 1<<fanBits // all inner pages of maxLevels
	// treeFormat is the format of a tree's head. Programs that know only the flat form reject it.
	treeFormat = 2
)

// Head names the catalogue's uppermost pages by their digests.
type Head struct {
	Format      int          `json:"v"`
	Number      uint64       `json:"number"`           // of the catalogue; it increases with each catalogue
	Levels      int          `json:"levels,omitempty"` // levels of pages below a tree's head; 0: the flat form
	Pages       []string     `json:"pages"`            // digests; "" for a page without entries
	PolicyNeeds []PolicyNeed `json:"needs,omitempty"`  // of all leaves, for proxies that have read only some
}

// PolicyNeed states that some next specs need a version of the policy table. A proxy that lacks this version
// has not prepared these specs, whether or not it has cached their leaves.
type PolicyNeed struct {
	Policy uint64 `json:"policy"`
	Since  uint64 `json:"since"` // number of the first catalogue with such a spec
}

// page is a leaf, which has entries, or an inner page, which has digests.
type page struct {
	Format  int      `json:"v"`
	Entries []*Entry `json:"entries,omitempty"` // sorted by name
	Pages   []string `json:"pages,omitempty"`

	leaf *Leaf // the decoded entries of a leaf
}

// hashName returns the FNV-1a hash of a name. Each request computes it once, without allocation.
func hashName(name string) uint32 {
	h := uint32(2166136261)
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return h
}

// leafOf returns the number of a name's leaf in a catalogue with some levels.
func leafOf(name string, levels int) int { return int(hashName(name)) & (1<<(fanBits*levels) - 1) }

// leavesOf returns the sorted numbers of the leaves that contain an entry: in the flat form the leaf of the
// tenant's own name, in a tree the leaves of all names that requests use.
func leavesOf(e *Entry, levels int) (leaves []int) {
	if levels == 0 {
		return []int{leafOf(e.Name, 1)}
	}
	for _, name := range e.names() {
		leaves = append(leaves, leafOf(name, levels))
	}
	slices.Sort(leaves)
	return slices.Compact(leaves)
}

// encode returns the encoded page and its digest. The digest of an empty page is "".
func (p *page) encode() (digest string, raw []byte, err error) {
	if len(p.Entries) == 0 && !slices.ContainsFunc(p.Pages, func(d string) bool { return d != "" }) {
		return "", nil, nil
	}
	p.Format = documentFormat
	if raw, err = json.Marshal(p); err != nil {
		return "", nil, fmt.Errorf("tenant: encode catalogue page: %w", err)
	}
	if len(raw) > registry.MaxRecordValueBytes {
		return "", nil, fmt.Errorf(
			"tenant: encode catalogue page: %d bytes, want at most %d",
			len(raw),
			registry.MaxRecordValueBytes,
		)
	}
	return digestOf(raw), raw, nil
}

// digestOf returns the first 16 bytes of the SHA-256 hash of an encoded page, in hexadecimal.
func digestOf(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:16])
}

// DecodeHead decodes a head, and rejects unknown formats.
func DecodeHead(raw []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(raw, &h); err != nil {
		return h, fmt.Errorf("tenant: decode catalogue head: %w", err)
	}
	flat := h.Format == documentFormat && h.Levels == 0 && len(h.Pages) <= 1024
	tree := h.Format == treeFormat && h.Levels >= minLevels && h.Levels <= maxLevels && len(h.Pages) == fanOut
	if !flat && !tree {
		return h, fmt.Errorf(
			"tenant: decode catalogue head: unsupported format %d with %d pages on %d levels, want format %d or %d",
			h.Format,
			len(h.Pages),
			h.Levels,
			documentFormat,
			treeFormat,
		)
	}
	return h, nil
}

// decodePage decodes a page, which must match its digest.
func decodePage(digest string, raw []byte) (*page, error) {
	if digestOf(raw) != digest {
		return nil, fmt.Errorf("tenant: decode catalogue page %s: its content has another digest", digest)
	}
	p := &page{}
	if err := json.Unmarshal(raw, p); err != nil {
		return nil, fmt.Errorf("tenant: decode catalogue page %s: %w", digest, err)
	}
	if slices.ContainsFunc(p.Entries, func(e *Entry) bool { return e == nil || e.Name == "" }) {
		return nil, fmt.Errorf("tenant: decode catalogue page %s: an entry has no name", digest)
	}
	p.leaf = &Leaf{p.Entries, len(raw)}
	return p, nil
}

// errPageMissing reports that a page of a head is not on record, because a newer head has replaced the head
// that was read.
var errPageMissing = errors.New("tenant: catalogue page missing")

// treeWalk is a walk from a head down to some leaves or all of them.
type treeWalk struct {
	Head
	available map[string]*page // the pages that can be used, by digest
	complete  bool             // walk to all leaves
	snapshot  *Snapshot        // the result
	used      map[string]*page // receives the pages that are used; nil: they are not collected
	usedCount int              // number of pages that are used
	missing   []string         // digests of the pages that are needed and not available
	err       error            // a page of the wrong kind was found
}

// assemble builds the catalogue of a head from available pages (by digest): the complete catalogue, or some
// leaves of it (sorted by number). If treeWalk.missing is not empty, the snapshot is not usable until these
// pages have been read. Pages that are used are added to used, unless it is nil.
func assemble(
	head Head,
	available map[string]*page,
	complete bool,
	leaves []int,
	used map[string]*page,
) *treeWalk {
	w := &treeWalk{Head: head, available: available, used: used, complete: complete || head.Levels == 0}
	w.snapshot = &Snapshot{
		Number:      head.Number,
		levels:      head.Levels,
		complete:    w.complete,
		leaves:      map[int]*Leaf{},
		policyNeeds: head.PolicyNeeds,
	}
	if head.Levels > 0 {
		w.descend(head.Pages, 1, 0, leaves)
		return w
	}
	entries := map[string]*Entry{}
	for _, digest := range head.Pages {
		if p := w.page(digest, true); p != nil {
			for _, e := range p.Entries {
				entries[e.Name] = e
			}
		}
	}
	w.snapshot = NewSnapshot(head.Number, slices.Collect(maps.Values(entries))...)
	return w
}

// descend walks the pages that a page on the level above names. prefix is the index of that page; leaves are
// the wanted leaves below it.
func (w *treeWalk) descend(digests []string, level, prefix int, leaves []int) {
	for n, digest := range digests {
		index := prefix<<fanBits | n
		count := 0 // of the wanted leaves that are below this page
		for count < len(leaves) && leaves[count]>>(fanBits*(w.Levels-level)) == index {
			count++
		}
		leavesBelow := leaves[:count]
		leaves = leaves[count:]
		switch {
		case !w.complete && count == 0 || w.complete && digest == "":
		case digest == "":
			for _, leaf := range leavesBelow {
				w.snapshot.leaves[leaf] = emptyLeaf
			}
		case level < w.Levels:
			if p := w.page(digest, false); p != nil {
				w.descend(p.Pages, level+1, index, leavesBelow)
			}
		default:
			if p := w.page(digest, true); p != nil {
				w.snapshot.leaves[index] = p.leaf
			}
		}
	}
}

// page returns the page with a digest, or nil if it is not available. leaf is the kind of page that is
// expected.
func (w *treeWalk) page(digest string, leaf bool) *page {
	if digest == "" {
		return nil
	}
	p := w.available[digest]
	switch {
	case p == nil:
		w.missing = append(w.missing, digest)
	case leaf != (p.Pages == nil) || !leaf && len(p.Pages) != fanOut:
		w.err = fmt.Errorf("tenant: walk catalogue: page %s is not of the kind that its level needs", digest)
		return nil
	default:
		if w.usedCount++; w.used != nil {
			w.used[digest] = p
		}
	}
	return p
}
