package client

// The choice of the subset to follow, and the move from one subset to another: the client reads the new
// subset completely while the previous one stays in use.

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wrenspread/internal/registry"
)

// subsetMove is the subset that is to be followed. If the client follows another subset, it watches that
// until readAt. This time is drawn at random from the length of a hold, because one change of the list can
// make many proxies move at once.
type subsetMove struct {
	target registry.Subset
	readAt time.Duration // since the client's start
}

// codePaced is the error code of a replica that sends too many complete subsets at present.
const codePaced = "paced"

// listRead describes a call that reads the list or a subset.
type listRead struct {
	subset      registry.Subset
	from        uint64
	epoch       string
	hold        time.Duration
	movesSubset bool // the call reads a subset that replaces the one in use
}

// subsetOf returns the subset that a response covers. The response of a service that knows no subsets covers
// the complete list.
func subsetOf(a registry.ListResponse) registry.Subset {
	p, _ := registry.ParseSubset(a.Subset) // after an error p is the zero subset, which is the complete list
	return p
}

// nextRead returns what the next call requests.
func (k *Client) nextRead(hold time.Duration) listRead {
	k.mu.Lock()
	defer k.mu.Unlock()
	q := listRead{subset: k.list.subset, hold: hold}
	q.from, q.epoch = k.list.Next()
	if q.from == 0 || k.pendingMove.target == q.subset {
		q.subset = k.pendingMove.target
		return q
	}
	if remaining := k.pendingMove.readAt - time.Since(k.start); remaining > 0 {
		q.hold = min(hold, remaining.Truncate(time.Millisecond)+time.Millisecond)
		return q
	}
	return listRead{subset: k.pendingMove.target, hold: hold, movesSubset: true}
}

// deferMove postpones a move whose read failed. Until then the client watches the subset in use. It reports
// whether the read failed because the service paces complete reads.
func (k *Client) deferMove(q listRead, err error) (paced bool) {
	if !q.movesSubset {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pendingMove.readAt = time.Since(k.start) + rand.N(maxBackoff)
	var r *Error
	return errors.As(err, &r) && r.Code == codePaced
}

// matchSubset checks that a response covers the requested subset. The response of a service that knows no
// subsets is accepted as the complete list or, if it has changes, reduced to the changes of the subset.
func (q listRead) matchSubset(a *registry.ListResponse) error {
	switch {
	case a.Subset == q.subset.String():
	case a.Subset != "":
		return fmt.Errorf("response covers subset %q, requested %q", a.Subset, q.subset)
	case !a.Snapshot && !q.subset.IsAll():
		a.Endpoints = slices.DeleteFunc(
			a.Endpoints,
			func(e registry.Endpoint) bool { return !q.subset.Contains(registry.Position(e.Name)) },
		)
		a.Subset = q.subset.String()
	}
	return nil
}

// widensSubset reports whether a complete subset in a response is too narrow, and if so makes the wider
// subset the one to follow. The response is then discarded, as the wider subset is read at once.
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
	k.pendingMove = subsetMove{target: next}
	return true
}

// chooseSubset sets the subset to follow according to the known list. The caller holds k.mu.
func (k *Client) chooseSubset(a registry.ListResponse) {
	if k.config.ChooseSubset == nil {
		return
	}
	if a.Subset == "" { // the service knows no subsets
		k.pendingMove = subsetMove{target: registry.Subset{}}
		return
	}
	if k.list.total == 0 {
		return
	}
	next := k.config.ChooseSubset(k.list.subset, k.list.total, k.list.appendTo([]registry.Endpoint{}))
	if next == k.pendingMove.target {
		return
	}
	k.pendingMove = subsetMove{next, time.Since(k.start) + rand.N(k.config.Hold)}
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
