package tenant

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// call delivers a call to the registry and its response, each after a random time. Either is lost if cut
// returns true at its delivery. answered is called with true after a response, and with false after
// callTimeout without one.
func (w *simulation) call(cut func() bool, serve func(), answered func(ok bool)) {
	done := false
	delay := time.Duration(1+w.IntN(20)) * time.Millisecond
	if w.IntN(50) == 0 && !w.faultless {
		delay += time.Duration(w.IntN(700)) * time.Millisecond
	}
	w.after(delay, func() {
		if cut() {
			return
		}
		w.expireSessions()
		serve()
		w.after(time.Duration(1+w.IntN(20))*time.Millisecond, func() {
			if !cut() && !done {
				done = true
				answered(true)
			}
		})
	})
	w.after(callTimeout, func() {
		if !done {
			done = true
			answered(false)
		}
	})
}

// expireSessions ends expired sessions by the registry's clock, which is true time.
func (w *simulation) expireSessions() {
	for id, s := range w.sessions {
		if w.now > s.endsAt {
			delete(w.sessions, id)
		}
	}
}

// putRecord writes or deletes a record as the registry does.
func (w *simulation) putRecord(write RecordWrite, token uint64) (uint64, error) {
	current := w.records[write.Key]
	if !w.mutations["writes not fenced"] && (token != w.token || !write.Unconditional && current.version != write.Version) {
		return 0, ErrSuperseded
	}
	w.version++
	if write.Value == nil {
		delete(w.records, write.Key)
	} else {
		w.records[write.Key] = storedRecord{slices.Clone(write.Value), w.version}
	}
	w.oracle.recordWritten(w, write)
	return w.version, nil
}

// readCatalogue returns the wanted leaves of the catalogue on record, or nil if there is none.
func (w *simulation) readCatalogue(wanted WantedLeaves) *Snapshot {
	r, ok := w.records[HeadKey]
	if !ok {
		return nil
	}
	head, err := DecodeHead(r.value)
	if err == nil && w.currentPagesVersion != w.version {
		w.currentPages, w.currentPagesVersion = map[string]*page{}, w.version
		for key, r := range w.records {
			digest, is := keyName(key, PagePrefix)
			if is && w.decodedPages[digest] == nil {
				w.decodedPages[digest], err = decodePage(digest, r.value)
			}
			if is {
				w.currentPages[digest] = w.decodedPages[digest]
			}
		}
	}
	walk := assemble(head, w.currentPages, wanted.complete, wanted.forLevels(head.Levels), nil)
	if err != nil || walk.err != nil || len(walk.missing) > 0 {
		w.fail("the catalogue on record is incomplete or invalid: %v, %v, missing pages %v", err, walk.err, walk.missing)
	}
	return walk.snapshot
}

// snapshot returns the complete catalogue on record.
func (w *simulation) snapshot() *Snapshot { return w.readCatalogue(WantedLeaves{complete: true}) }

// memberRecord returns the member record.
func (w *simulation) memberRecord() (members MemberRecord) {
	if r, ok := w.records[MembersKey]; ok {
		if err := json.Unmarshal(r.value, &members); err != nil {
			w.fail("decode member record: %v", err)
		}
	}
	return members
}

// stored returns the state on record from which a controller starts.
func (w *simulation) stored() (stored Stored) {
	stored.Pages = map[string]uint64{}
	for _, key := range sortedKeys(w.records) {
		r := w.records[key]
		if digest, is := keyName(key, PagePrefix); is {
			stored.Pages[digest] = r.version
		}
		if _, is := keyName(key, TenantPrefix); is {
			t, err := DecodeTenant(r.value, r.version)
			if err != nil {
				w.fail("%v", err)
			}
			stored.Tenants = append(stored.Tenants, t)
		}
	}
	stored.Members, stored.MembersVersion = w.memberRecord(), w.records[MembersKey].version
	if stored.Snapshot = w.snapshot(); stored.Snapshot != nil {
		stored.Head, _ = DecodeHead(w.records[HeadKey].value)
		stored.HeadVersion = w.records[HeadKey].version
	}
	return stored
}

// observe returns a controller's observation.
func (w *simulation) observe() (observation Observation) {
	w.expireSessions()
	for _, id := range sortedKeys(w.sessions) {
		s := w.sessions[id]
		if s.status == nil {
			continue
		}
		status := *s.status
		if w.mutations["members not awaited"] && s.status.Prepared > 0 {
			status.Prepared, status.DrainedUpTo = w.oracle.number, w.oracle.number
		}
		observation.Sessions = append(observation.Sessions, Session{s.proxy, status})
	}
	observation.Policy = w.policy
	if w.mutations["floors doubled"] {
		observation.Policy.TotalFloor *= 2
	}
	for k := range 40 {
		observation.Endpoints = append(observation.Endpoints, Endpoint{Zone: fmt.Sprint("z", k), MachineType: "k"})
	}
	for _, key := range sortedKeys(w.records) {
		for _, prefix := range []string{OrderPrefix, ForgetPrefix} {
			if name, is := keyName(key, prefix); is {
				order := PendingOrder{Key: key, Name: name, Version: w.records[key].version}
				if err := json.Unmarshal(w.records[key].value, &order.Order); err != nil {
					w.fail("%v", err)
				}
				observation.Orders = append(observation.Orders, order)
			}
		}
	}
	return observation
}

func sortedKeys[T any](m map[string]T) []string {
	var keys []string
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
