package tenant

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"indigotack/internal/list"
)

// Phase is what nodes do with a tenant.
type Phase string

// The phases. A node that does not know one answers 503 for the tenant.
const (
	Serve   Phase = "serve"   // by Now
	Prepare Phase = "prepare" // by Now still, or 503 where there is none; Next is made ready
	Hold    Phase = "hold"    // 503 for what Now and Next answer differently
	Drain   Phase = "drain"   // refused; what is open ends within its time
)

// Entry is a tenant in the catalogue.
type Entry struct {
	Name  string `json:"name"`
	Phase Phase  `json:"phase"`
	Now   *Form  `json:"now,omitempty"`
	Next  *Form  `json:"next,omitempty"` // none at Prepare or Hold: it goes
	Since uint64 `json:"since"`          // the number of the catalogue in which this was new

	more fields
}

// entryOf gives what nodes are to do with a tenant on record; nil: it is not in the catalogue.
func entryOf(t *Tenant) *Entry {
	phase := map[State]Phase{Reserved: Prepare, Active: Serve, Suspended: Serve, Changing: Prepare, Switching: Hold, Draining: Drain}[t.State]
	if phase == "" {
		return nil
	}
	return &Entry{Name: t.Name, Phase: phase, Now: t.Now, Next: t.Next}
}

// drain is how long what is open of a tenant has to end.
func (e *Entry) drain() time.Duration {
	if e.Now == nil {
		return 0
	}
	return e.Now.Drain()
}

// same tells whether two entries mean the same, since whenever; what only a newer
// conductor knows is left aside, and kept.
func (e *Entry) same(o *Entry) bool {
	if e == nil || o == nil {
		return e == o
	}
	if e.Phase == o.Phase && e.Now == o.Now && e.Next == o.Next { // forms are not changed once they are there
		return true
	}
	a, b := *e, *o
	a.Since, b.Since, a.more, b.more = 0, 0, nil, nil
	x, err1 := json.Marshal(&a)
	y, err2 := json.Marshal(&b)
	return err1 == nil && err2 == nil && bytes.Equal(x, y)
}

// pages is among how many records the entries are spread by their names: with
// MaxTenants a page has 25 on average, of 60 that fit at their longest.
const pages = 32

// Head names the catalogue's pages by their digests. Pages never change: a new
// catalogue is new pages and, by one write, another head. So it is taken whole.
type Head struct {
	V      int      `json:"v"`
	Number uint64   `json:"number"` // of the catalogue; each is higher than the last
	Pages  []string `json:"pages"`  // digests; "" for one without entries
}

type page struct {
	V       int      `json:"v"`
	Entries []*Entry `json:"entries"` // by name
}

// Image is a catalogue, whole.
type Image struct {
	Number  uint64
	Entries map[string]*Entry
}

func pageOf(name string) int {
	h := fnv.New32a()
	h.Write([]byte(name)) // never fails
	return int(h.Sum32() % pages)
}

// split gives the head and the pages by their digests.
func (i *Image) split() (Head, map[string][]byte, error) {
	head := Head{V: form, Number: i.Number, Pages: make([]string, pages)}
	raw := map[string][]byte{}
	all := make([][]*Entry, pages)
	for _, name := range slices.Sorted(maps.Keys(i.Entries)) {
		all[pageOf(name)] = append(all[pageOf(name)], i.Entries[name])
	}
	for n, entries := range all {
		if len(entries) == 0 {
			continue
		}
		b, err := json.Marshal(page{form, entries})
		if err != nil {
			return head, nil, fmt.Errorf("tenant: a page of the catalogue: %w", err)
		}
		if len(b) > list.MaxRecord {
			return head, nil, fmt.Errorf("tenant: a page of the catalogue has %d bytes, %d at most", len(b), list.MaxRecord)
		}
		sum := sha256.Sum256(b)
		head.Pages[n] = hex.EncodeToString(sum[:16])
		raw[head.Pages[n]] = b
	}
	return head, raw, nil
}

// DecodeHead reads a head.
func DecodeHead(raw []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(raw, &h); err != nil {
		return h, fmt.Errorf("tenant: the catalogue's head can't be read: %w", err)
	}
	if h.V != form || len(h.Pages) > 1024 {
		return h, fmt.Errorf("tenant: a catalogue of form %d with %d pages, this program knows form %d", h.V, len(h.Pages), form)
	}
	return h, nil
}

// decodePage reads a page, which must be what its digest says.
func decodePage(digest string, raw []byte) ([]*Entry, error) {
	sum := sha256.Sum256(raw)
	if hex.EncodeToString(sum[:16]) != digest {
		return nil, fmt.Errorf("tenant: page %s of the catalogue is another", digest)
	}
	var p page
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("tenant: page %s of the catalogue: %w", digest, err)
	}
	if slices.ContainsFunc(p.Entries, func(e *Entry) bool { return e == nil || e.Name == "" }) {
		return nil, fmt.Errorf("tenant: page %s of the catalogue has an entry without a name", digest)
	}
	return p.Entries, nil
}

// errMissing tells of a page that has gone: there is a newer head.
var errMissing = errors.New("tenant: a page is not there")

// join makes the catalogue of a head from its pages by digest. A page that is missing
// is an error: the catalogue is whole or not at all.
func join(h Head, entries map[string][]*Entry) (*Image, error) {
	i := &Image{Number: h.Number, Entries: map[string]*Entry{}}
	for _, digest := range h.Pages {
		all, ok := entries[digest]
		if !ok && digest != "" {
			return nil, fmt.Errorf("%w: page %s of catalogue %d", errMissing, digest, h.Number)
		}
		for _, e := range all {
			i.Entries[e.Name] = e
		}
	}
	return i, nil
}

// Sorted gives the entries by name.
func (i *Image) Sorted() []*Entry {
	return slices.SortedFunc(maps.Values(i.Entries), func(a, b *Entry) int { return cmp.Compare(a.Name, b.Name) })
}
