package tenant

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// call carries a call to the service and its answer back, both after drawn times.
// Where the line is cut then, it is lost; answered tells which.
func (w *world) call(cut func() bool, serve func(), answered func(ok bool)) {
	done := false
	there := time.Duration(1+w.IntN(20)) * time.Millisecond
	if w.IntN(50) == 0 && !w.quiet {
		there += time.Duration(w.IntN(700)) * time.Millisecond
	}
	w.after(there, func() {
		if cut() {
			return
		}
		w.expire()
		serve()
		w.after(time.Duration(1+w.IntN(20))*time.Millisecond, func() {
			if !cut() && !done {
				done = true
				answered(true)
			}
		})
	})
	w.after(lost, func() {
		if !done {
			done = true
			answered(false)
		}
	})
}

// expire ends sessions by the service's clock, which is the world's.
func (w *world) expire() {
	for id, s := range w.sessions {
		if w.now > s.at {
			delete(w.sessions, id)
		}
	}
}

// put writes a record as the registry does.
func (w *world) put(p RecordWrite, fence uint64) (uint64, error) {
	has := w.records[p.Key]
	if !w.broken["no fence"] && (fence != w.fence || !p.Unconditional && has.version != p.Version) {
		return 0, ErrSuperseded
	}
	w.version++
	if p.Value == nil {
		delete(w.records, p.Key)
	} else {
		w.records[p.Key] = record0{slices.Clone(p.Value), w.version}
	}
	w.truth.written(w, p)
	return w.version, nil
}

// read is the catalogue as it is on record, as far as it is wanted.
func (w *world) read(want WantedLeaves) *Snapshot {
	r, ok := w.records[HeadKey]
	if !ok {
		return nil
	}
	head, err := DecodeHead(r.value)
	if err == nil && w.haveAt != w.version {
		w.have, w.haveAt = map[string]*page{}, w.version
		for key, r := range w.records {
			digest, is := keyName(key, PagePrefix)
			if is && w.pages[digest] == nil {
				w.pages[digest], err = decodePage(digest, r.value)
			}
			if is {
				w.have[digest] = w.pages[digest]
			}
		}
	}
	got := assemble(head, w.have, want.complete, want.forLevels(head.Levels), nil)
	if err != nil || got.err != nil || len(got.missing) > 0 {
		w.fail("the catalogue is not whole: %v, %v, without %v", err, got.err, got.missing)
	}
	return got.snapshot
}

// image is the whole catalogue.
func (w *world) image() *Snapshot { return w.read(WantedLeaves{complete: true}) }

func (w *world) book() (b MemberRecord) {
	if r, ok := w.records[MembersKey]; ok {
		if err := json.Unmarshal(r.value, &b); err != nil {
			w.fail("the book: %v", err)
		}
	}
	return b
}

// stored gives what a controller begins from.
func (w *world) stored() (s Stored) {
	s.Pages = map[string]uint64{}
	for _, key := range sortedKeys(w.records) {
		r := w.records[key]
		if digest, is := keyName(key, PagePrefix); is {
			s.Pages[digest] = r.version
		}
		if _, is := keyName(key, Prefix); is {
			t, err := DecodeTenant(r.value, r.version)
			if err != nil {
				w.fail("%v", err)
			}
			s.Tenants = append(s.Tenants, t)
		}
	}
	s.Members, s.MembersVersion = w.book(), w.records[MembersKey].version
	if s.Snapshot = w.image(); s.Snapshot != nil {
		s.Head, _ = DecodeHead(w.records[HeadKey].value)
		s.HeadVersion = w.records[HeadKey].version
	}
	return s
}

// look gives what a controller sees.
func (w *world) look() (l Observation) {
	w.expire()
	for _, id := range sortedKeys(w.sessions) {
		s := w.sessions[id]
		if s.word == nil {
			continue
		}
		word := *s.word
		if w.broken["no waiting"] && s.word.Prepared > 0 {
			word.Prepared, word.DrainedUpTo = w.truth.number, w.truth.number
		}
		l.Sessions = append(l.Sessions, Session{s.node, word})
	}
	l.Policy = w.policy
	if w.broken["free twice"] {
		l.Policy.TotalFloor *= 2
	}
	for k := range 40 {
		l.Endpoints = append(l.Endpoints, Endpoint{Zone: fmt.Sprint("z", k), MachineType: "k"})
	}
	for _, key := range sortedKeys(w.records) {
		for _, prefix := range []string{OrderPrefix, ForgetPrefix} {
			if name, is := keyName(key, prefix); is {
				a := PendingOrder{Key: key, Name: name, Version: w.records[key].version}
				if err := json.Unmarshal(w.records[key].value, &a.Order); err != nil {
					w.fail("%v", err)
				}
				l.Orders = append(l.Orders, a)
			}
		}
	}
	return l
}

func sortedKeys[T any](m map[string]T) []string {
	var all []string
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}
