package client

// Which part of the list is followed, and how a client goes from one to another:
// it reads the new one whole while the one that it has stands.

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"wrenspread/internal/registry"
)

// move is the part that is to be followed. Where another one is known, that one is
// watched until its time, which is drawn from a whole hold: the nodes that have to
// move are told so by one change.
type move struct {
	to registry.Part
	at time.Duration // since the client's start
}

// codePaced is the service's refusal of a whole part, while it makes others.
const codePaced = "paced"

// asking is a call that is made, or the answer that it brought.
type asking struct {
	part  registry.Part
	from  uint64
	epoch string
	hold  time.Duration
	moves bool // it reads a part in place of the one that stands
}

// partOf is the part that an answer is of; one of a service that knows no parts is all of the list.
func partOf(a registry.Answer) registry.Part {
	p, _ := registry.ParsePart(a.Part) // the zero Part is all
	return p
}

// ask says what the next call asks for.
func (k *Client) ask(hold time.Duration) asking {
	k.mu.Lock()
	defer k.mu.Unlock()
	q := asking{part: k.belief.part, hold: hold}
	q.from, q.epoch = k.belief.Ask()
	if q.from == 0 || k.move.to == q.part {
		q.part = k.move.to
		return q
	}
	if left := k.move.at - time.Since(k.start); left > 0 {
		q.hold = min(hold, left.Truncate(time.Millisecond)+time.Millisecond)
		return q
	}
	return asking{part: k.move.to, hold: hold, moves: true}
}

// failed puts a move off that did not come off, for whatever reason: until then the
// part that stands is watched again. It tells whether that is what the service asked for.
func (k *Client) failed(q asking, err error) (paced bool) {
	if !q.moves {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.move.at = time.Since(k.start) + rand.N(mostWait)
	var r *Refused
	return errors.As(err, &r) && r.Code == codePaced
}

// fit gives an answer the form of its part. A service that knows no parts says
// nothing of one: its whole list is taken as that, of its changes what the part has.
func (q asking) fit(a *registry.Answer) error {
	switch {
	case a.Part == q.part.String():
	case a.Part != "":
		return errors.New("an answer of another part than was asked for")
	case !a.Snapshot && !q.part.All():
		a.Endpoints = slices.DeleteFunc(a.Endpoints, func(e registry.Entry) bool { return !q.part.Holds(registry.Point(e.Name)) })
		a.Part = q.part.String()
	}
	return nil
}

// widens tells whether a whole part that has come is too narrow. Then it is not
// taken, as the wider one is read at once.
func (k *Client) widens(q asking, a registry.Answer) bool {
	if k.c.Part == nil || a.Part == "" || !a.Snapshot {
		return false
	}
	next := k.c.Part(q.part, a.Total, a.Endpoints)
	if q.part.Covers(next) {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.move = move{to: next}
	return true
}

// settle finds the part to follow from what is believed by now; k.mu is held.
func (k *Client) settle(a registry.Answer) {
	if k.c.Part == nil {
		return
	}
	if a.Part == "" { // a service that knows no parts
		k.move = move{to: registry.Part{}}
		return
	}
	if k.belief.total == 0 {
		return
	}
	next := k.c.Part(k.belief.part, k.belief.total, k.belief.appendTo([]registry.Entry{}))
	if next == k.move.to {
		return
	}
	k.move = move{next, time.Since(k.start) + rand.N(k.c.Hold)}
	if next != k.belief.part {
		k.log.Info("another part of the list is to be followed", "from", k.belief.part, "to", next, "of", k.belief.total)
	}
}
