package tenant

import (
	"cmp"
	"context"
	"slices"

	"wrenspread/internal/registry/client"
)

// Progress is how far a tenant is, as an operator asks.
type Progress struct {
	*Tenant
	Published  bool     `json:"published"`           // proxies are notified of this state
	Number     uint64   `json:"number,omitempty"`    // of the catalogue that tells them
	WaitingFor []string `json:"waits_for,omitempty"` // members that it waits for
}

// AllProgress tells how far all tenants are, by name, from what is on record and the
// sessions that are open. How long members have been away only the controller knows: all
// that may still have to be waited for are named.
func AllProgress(s Stored, sessions []Session) (all []Progress) {
	m := Load(0, s, DefaultTimes(), s.Head.Levels > 0)
	r := &round{Observation: Observation{Sessions: sessions}, sessions: map[string][]Status{}}
	for _, one := range sessions {
		r.sessions[one.Proxy] = append(r.sessions[one.Proxy], one.Status)
	}
	for _, t := range s.Tenants {
		e := m.entries[t.Name]
		one := Progress{Tenant: t, Published: entryOf(t).equivalent(e)}
		if e != nil {
			one.Number = e.Since
		}
		if one.Published && e != nil {
			one.WaitingFor = m.membersBehind(r, e.Since, t.State.waitScope(), e.drainTime())
		}
		all = append(all, one)
	}
	slices.SortFunc(all, func(a, b Progress) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// ReadProgress tells how far one tenant is, from its own record and the leaves of the catalogue with its
// names. One that is refused has none left, and all is read. there is false where there is no such tenant.
func ReadProgress(ctx context.Context, k *client.Client, name string) (s Progress, there bool, err error) {
	one, err := k.Record(ctx, Prefix+name)
	if isNotFound(err) {
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
	if t.Current == nil && t.Next == nil {
		stored, err = ReadStored(ctx, k)
		stored.Tenants = []*Tenant{t} // before what was read with the catalogue
	} else {
		if stored.MembersVersion, err = readRecord(ctx, k, MembersKey, &stored.Members); err != nil {
			return s, false, err
		}
		r := Reader{Source: k}
		for range readAttempts { // it may change meanwhile
			if stored.Snapshot, err = r.catalogue(
				ctx,
				WantedLeaves{snapshot: NewSnapshot(0, &Entry{Name: name, Current: t.Current, Next: t.Next})},
			); !isNotFound(
				err,
			) {
				break
			}
		}
	}
	if err != nil {
		return s, false, err
	}
	sessions, err := ReadSessions(ctx, k)
	return AllProgress(stored, sessions)[0], true, err
}

// Outcome tells what came of an order; done is false while it is under way. One that is
// done and not published yet is under way still: proxies are to know of it first.
func (s Progress) Outcome(order string) (o Outcome, done bool) {
	i := slices.IndexFunc(s.Outcomes, func(o Outcome) bool { return o.Order == order })
	if i < 0 || s.Order == order && !s.Published {
		return Outcome{}, false
	}
	return s.Outcomes[i], true
}
