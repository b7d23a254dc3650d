package tenant

import (
	"cmp"
	"context"
	"slices"

	"wrenspread/internal/registry/client"
)

// Standing is how far a tenant is, as an operator asks.
type Standing struct {
	*Tenant
	Published bool     `json:"published"`           // nodes are told of this state
	Number    uint64   `json:"number,omitempty"`    // of the catalogue that tells them
	Waits     []string `json:"waits_for,omitempty"` // members that it waits for
}

// Standings tells how far all tenants are, by name, from what is on record and the
// sessions that are open. How long members have been away only the conductor knows: all
// that may still have to be waited for are named.
func Standings(s Stored, sessions []Session) (all []Standing) {
	m := Load(0, s, DefaultTimes(), s.Head.Levels > 0)
	r := &round{Look: Look{Sessions: sessions}, sessions: map[string][]Word{}}
	for _, one := range sessions {
		r.sessions[one.Node] = append(r.sessions[one.Node], one.Word)
	}
	for _, t := range s.Tenants {
		e := m.entries[t.Name]
		one := Standing{Tenant: t, Published: entryOf(t).same(e)}
		if e != nil {
			one.Number = e.Since
		}
		if one.Published && e != nil {
			one.Waits = m.behind(r, e.Since, t.State.need(), e.drain())
		}
		all = append(all, one)
	}
	slices.SortFunc(all, func(a, b Standing) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// ReadStanding tells how far one tenant is, from its own record and the parts of the catalogue with
// its names. One that is refused has none left, and all is read. there is false where there is no such tenant.
func ReadStanding(ctx context.Context, k *client.Client, name string) (s Standing, there bool, err error) {
	one, err := k.Record(ctx, Prefix+name)
	if none(err) {
		return s, false, nil
	}
	var t *Tenant
	if err == nil {
		t, err = DecodeTenant(one.Value, one.Version)
	}
	if err != nil {
		return s, false, err
	}
	stored := Stored{Tenants: []*Tenant{t}}
	if t.Now == nil && t.Next == nil {
		stored, err = ReadStored(ctx, k)
		stored.Tenants = []*Tenant{t} // before what was read with the catalogue
	} else {
		if stored.BookVersion, err = record(ctx, k, BookKey, &stored.Book); err != nil {
			return s, false, err
		}
		r := Reader{List: k}
		for range readTries { // it may change meanwhile
			if stored.Image, err = r.catalogue(ctx, Want{image: NewImage(0, &Entry{Name: name, Now: t.Now, Next: t.Next})}); !none(err) {
				break
			}
		}
	}
	if err != nil {
		return s, false, err
	}
	sessions, err := ReadSessions(ctx, k)
	return Standings(stored, sessions)[0], true, err
}

// Outcome tells what came of an order; done is false while it is under way. One that is
// done and not published yet is under way still: nodes are to know of it first.
func (s Standing) Outcome(order string) (o Outcome, done bool) {
	i := slices.IndexFunc(s.Done, func(o Outcome) bool { return o.Order == order })
	if i < 0 || s.Order == order && !s.Published {
		return Outcome{}, false
	}
	return s.Done[i], true
}
