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

// subsetMove is the subset that is to be followed. If the client still follows another subset, it watches the
// other subset until readAt and then reads target. readAt is random, up to one hold after the choice of
// target, because one change of the list can make many proxies move at once.
type subsetMove struct {
	target registry.Subset
	readAt time.Duration // since the client's start
}

// codeTooManyReads is the error code of a replica that sends too many complete subsets at present.
const codeTooManyReads = "paced"

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
func subsetOf(response registry.ListResponse) registry.Subset {
	subset, _ := registry.ParseSubset(response.Subset) // after an error it is the zero subset, the complete list
	return subset
}

// nextRead returns the description of the next call.
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

// deferMove postpones a move whose read failed. Until the next attempt the client watches the subset in use.
// rejected reports whether the read failed because the replica sends too many complete subsets.
func (k *Client) deferMove(q listRead, err error) (rejected bool) {
	if !q.movesSubset {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pendingMove.readAt = time.Since(k.start) + rand.N(maxBackoff)
	var r *Error
	return errors.As(err, &r) && r.Code == codeTooManyReads
}

// matchSubset checks that a response covers the requested subset. The response of a service that knows no
// subsets is accepted as the complete list or, if it has changes, reduced to the changes of the subset.
func (q listRead) matchSubset(response *registry.ListResponse) error {
	switch {
	case response.Subset == q.subset.String():
	case response.Subset != "":
		return fmt.Errorf("response covers subset %q, requested %q", response.Subset, q.subset)
	case !response.Snapshot && !q.subset.IsAll():
		response.Endpoints = slices.DeleteFunc(
			response.Endpoints,
			func(e registry.Endpoint) bool { return !q.subset.Contains(registry.Position(e.Name)) },
		)
		response.Subset = q.subset.String()
	}
	return nil
}

// widensSubset reports whether a response is a complete subset that is too narrow. If so, the wider subset is
// the one to follow from now on, and the caller discards the response and reads the wider subset at once.
func (k *Client) widensSubset(q listRead, response registry.ListResponse) bool {
	if k.config.ChooseSubset == nil || response.Subset == "" || !response.Snapshot {
		return false
	}
	next := k.config.ChooseSubset(q.subset, response.Total, response.Endpoints)
	if q.subset.Covers(next) {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pendingMove = subsetMove{target: next}
	return true
}

// chooseSubset sets the subset to follow according to the known list. The caller holds k.mu.
func (k *Client) chooseSubset(response registry.ListResponse) {
	if k.config.ChooseSubset == nil {
		return
	}
	if response.Subset == "" { // the service knows no subsets
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
