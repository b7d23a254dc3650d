package client

// Which subset of the list is followed, and how a client goes from one to another: it reads the new one
// completely while the one that it has stands.

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"wrenspread/internal/registry"
)

// subsetMove is the subset that is to be followed. Where another one is known, that one is watched until its
// time, which is drawn from a whole hold: the proxies that have to move are notified by one change.
type subsetMove struct {
	to registry.Subset
	at time.Duration // since the client's start
}

// codePaced is the service's refusal of a complete subset, while it makes others.
const codePaced = "paced"

// listRead is a call that is made, or the answer that it brought.
type listRead struct {
	subset   registry.Subset
	from     uint64
	epoch    string
	hold     time.Duration
	migrates bool // it reads a subset in place of the one that stands
}

// subsetOf is the subset that an answer is of; one of a service that knows no subsets is all of the list.
func subsetOf(a registry.ListResponse) registry.Subset {
	p, _ := registry.ParseSubset(a.Subset) // the zero subset is all
	return p
}

// nextRead says what the next call asks for.
func (k *Client) nextRead(hold time.Duration) listRead {
	k.mu.Lock()
	defer k.mu.Unlock()
	q := listRead{subset: k.list.subset, hold: hold}
	q.from, q.epoch = k.list.Next()
	if q.from == 0 || k.move.to == q.subset {
		q.subset = k.move.to
		return q
	}
	if left := k.move.at - time.Since(k.start); left > 0 {
		q.hold = min(hold, left.Truncate(time.Millisecond)+time.Millisecond)
		return q
	}
	return listRead{subset: k.move.to, hold: hold, migrates: true}
}

// readFailed puts a move off that did not come off, for whatever reason: until then the subset that stands is
// watched again. It reports whether that is what the service asked for.
func (k *Client) readFailed(q listRead, err error) (paced bool) {
	if !q.migrates {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.move.at = time.Since(k.start) + rand.N(maxBackoff)
	var r *Error
	return errors.As(err, &r) && r.Code == codePaced
}

// fit gives an answer the form of its subset. A service that knows no subsets says nothing of one: its
// complete list is taken as that, of its changes what the subset has.
func (q listRead) fit(a *registry.ListResponse) error {
	switch {
	case a.Subset == q.subset.String():
	case a.Subset != "":
		return errors.New("an answer of another part than was asked for")
	case !a.Snapshot && !q.subset.IsAll():
		a.Endpoints = slices.DeleteFunc(
			a.Endpoints,
			func(e registry.Endpoint) bool { return !q.subset.Contains(registry.Position(e.Name)) },
		)
		a.Subset = q.subset.String()
	}
	return nil
}

// widensSubset reports whether a complete subset that has come is too narrow. Then it is not taken, as the
// wider one is read at once.
func (k *Client) widensSubset(q listRead, a registry.ListResponse) bool {
	if k.config.ChooseSubset == nil || a.Subset == "" || !a.Snapshot {
		return false
	}
	next := k.config.ChooseSubset(q.subset, a.Total, a.Endpoints)
	if q.subset.Covers(next) {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.move = subsetMove{to: next}
	return true
}

// chooseSubset finds the subset to follow from what is known by now; k.mu is held.
func (k *Client) chooseSubset(a registry.ListResponse) {
	if k.config.ChooseSubset == nil {
		return
	}
	if a.Subset == "" { // a service that knows no subsets
		k.move = subsetMove{to: registry.Subset{}}
		return
	}
	if k.list.total == 0 {
		return
	}
	next := k.config.ChooseSubset(k.list.subset, k.list.total, k.list.appendTo([]registry.Endpoint{}))
	if next == k.move.to {
		return
	}
	k.move = subsetMove{next, time.Since(k.start) + rand.N(k.config.Hold)}
	if next != k.list.subset {
		k.log.Info(
			"following another subset",
			"from",
			k.list.subset,
			"to",
			next,
			"of",
			k.list.total,
		)
	}
}
