package tenant

import (
	"cmp"
	"context"
	"slices"

	"wrenspread/internal/registry/client"
)

// Progress is the state of a tenant, and of its order in progress, that is shown to operators.
type Progress struct {
	*Tenant
	Published  bool     `json:"published"`           // the catalogue has the tenant in this state
	Number     uint64   `json:"number,omitempty"`    // number of the first catalogue with the tenant's entry
	WaitingFor []string `json:"waits_for,omitempty"` // members that the tenant waits for
}

// AllProgress returns the progress of all tenants, sorted by name, from the state on record and the open
// sessions. Only the controller knows for how long members have had no session, so WaitingFor names all
// members that may still have to be waited for.
func AllProgress(stored Stored, sessions []Session) (progresses []Progress) {
	m := Load(0, stored, DefaultTimes(), stored.Head.Levels > 0)
	r := &round{Observation: Observation{Sessions: sessions}, sessions: map[string][]Status{}}
	for _, proxySession := range sessions {
		r.sessions[proxySession.Proxy] = append(r.sessions[proxySession.Proxy], proxySession.Status)
	}
	for _, t := range stored.Tenants {
		e := m.entries[t.Name]
		progress := Progress{Tenant: t, Published: entryOf(t).equivalent(e)}
		if e != nil {
			progress.Number = e.Since
		}
		if progress.Published && e != nil {
			progress.WaitingFor = m.membersBehind(r, e.Since, t.State.waitScope(), e.drainTime())
		}
		progresses = append(progresses, progress)
	}
	slices.SortFunc(progresses, func(a, b Progress) int { return cmp.Compare(a.Name, b.Name) })
	return progresses
}

// ReadProgress returns the progress of a tenant, from its own record and the leaves of the catalogue with its
// names. A rejected tenant has no names left, so the complete state is read for it. found is false if the
// tenant has no record.
func ReadProgress(
	ctx context.Context,
	reg *client.Client,
	name string,
) (progress Progress, found bool, err error) {
	record, err := reg.Record(ctx, TenantPrefix+name)
	if isNotFound(err) {
		return progress, false, nil
	}
	var t *Tenant
	if err == nil {
		t, err = DecodeTenant(record.Value, record.Version)
	}
	if err != nil {
		return progress, false, err
	}
	stored := Stored{Tenants: []*Tenant{t}}
	if t.Current == nil && t.Next == nil {
		stored, err = ReadStored(ctx, reg)
		stored.Tenants = []*Tenant{t} // the record that was read before the catalogue
	} else {
		if stored.MembersVersion, err = readRecord(ctx, reg, MembersKey, &stored.Members); err != nil {
			return progress, false, err
		}
		r := Reader{Source: reg}
		for range readAttempts { // the catalogue may change while it is read
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
		return progress, false, err
	}
	sessions, err := ReadSessions(ctx, reg)
	return AllProgress(stored, sessions)[0], true, err
}

// Outcome returns the outcome of an order; done is false while the order is in progress. An order is in
// progress until its result is published, so that proxies can learn of the result before the operator does.
func (p Progress) Outcome(order string) (outcome Outcome, done bool) {
	i := slices.IndexFunc(p.Outcomes, func(outcome Outcome) bool { return outcome.Order == order })
	if i < 0 || p.Order == order && !p.Published {
		return Outcome{}, false
	}
	return p.Outcomes[i], true
}
