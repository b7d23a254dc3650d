package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/registry"
)

// troubled is a discovery with news that can be reached now and then. A call made in an outage ends in a way that is
// drawn; a watch that was held when it began falls silent or is reset.
type troubled struct {
	mu     sync.Mutex
	chance *rand.Rand
	begin  time.Time
	turns  []time.Duration // at which it can be reached no more, and again, in turn; it begins so
	news   []time.Duration // versions after the first
	excuse time.Duration   // until which a watch that fell silent was not to be known to be broken
}

const firstVersion = 42

func newTroubled(seed uint64, length time.Duration) *troubled {
	d := &troubled{chance: rand.New(rand.NewPCG(seed, 6)), begin: time.Now()}
	upTo := func(most time.Duration) time.Duration { return time.Duration(d.chance.Int64N(int64(most))) }
	for at, down := 4*time.Second, false; at < length; down = !down {
		if at += 100*time.Millisecond + upTo(14*time.Second); down {
			at += 4 * time.Second
		}
		d.turns = append(d.turns, at)
	}
	for at := upTo(3 * time.Second); at < length; at += 10*time.Millisecond + upTo(5*time.Second) {
		d.news = append(d.news, at)
	}
	return d
}

// reached tells whether it can be reached, since when, and when that changes.
func (d *troubled) reached(now time.Duration) (up bool, since, until time.Duration) {
	up, until = true, time.Hour
	for _, turn := range d.turns {
		if turn > now {
			return up, since, turn
		}
		up, since = !up, turn
	}
	return up, since, until
}

// version is what it has; next is when it has more.
func (d *troubled) version(now time.Duration) (v uint64, next time.Duration) {
	for i, at := range d.news {
		if at > now {
			return firstVersion + uint64(i), at
		}
	}
	return firstVersion + uint64(len(d.news)), time.Hour
}

func (d *troubled) draw(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.chance.IntN(n)
}

// dial fails or stands still in half of an outage's calls.
func (d *troubled) dial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if up, _, _ := d.reached(time.Since(d.begin)); !up {
			switch d.draw(4) {
			case 0:
				return nil, errors.New("refused")
			case 1:
				<-ctx.Done()
				return nil, ctx.Err()
			}
		}
		return dial(ctx, network, address)
	}
}

func (d *troubled) serve(w http.ResponseWriter, r *http.Request) {
	came := time.Since(d.begin)
	if up, _, _ := d.reached(came); !up {
		switch d.draw(5) {
		case 0:
			panic(http.ErrAbortHandler)
		case 1:
			refuse(w, r)
		case 2:
			cut(w, r)
		case 3:
			half(w, r)
		default:
			silent(w, r)
		}
		return
	}
	hold, _ := time.ParseDuration(r.URL.Query().Get("hold_ms") + "ms")
	_, _, until := d.reached(came)
	v, next := d.version(came)
	if from := r.URL.Query().Get("from"); from == fmt.Sprint(v) {
		answer := min(next, came+hold)
		if answer >= until {
			if time.Sleep(until - came); d.draw(2) == 0 {
				panic(http.ErrAbortHandler)
			}
			d.mu.Lock()
			d.excuse = max(d.excuse, came+hold+2*time.Second)
			d.mu.Unlock()
			silent(w, r)
			return
		}
		time.Sleep(answer - came)
		v, _ = d.version(answer)
	}
	tell(w, v)
}

// modulePlays has the decision module ask for lists, as the proxy does, and passes on what is told.
func modulePlays(ctx context.Context, d *Platform, words chan took, now func() time.Duration, nodes int, seed int64) chan took {
	lists := make(chan took, 100)
	go func() {
		m, clock := balancer.New(balancer.Settings{Proxies: nodes, PollForEndpoints: true, PollInterval: 10 * time.Second, MinEventInterval: time.Millisecond}, seed), time.NewTicker(25*time.Millisecond)
		defer clock.Stop()
		for e := balancer.Event(balancer.EndpointsUpdated{Kind: balancer.UpdateCached}); ctx.Err() == nil; {
			for _, a := range m.Handle(time.Hour+now(), e) {
				if a, ok := a.(balancer.Subscribe); ok {
					d.Poll(ctx, false, a.On)
				}
			}
			select {
			case l := <-words:
				e = balancer.EndpointsUpdated{Kind: balancer.UpdateFailed}
				if l.at >= 0 {
					e = balancer.EndpointsUpdated{Kind: balancer.UpdateComplete, Version: l.Index}
					lists <- l
				}
			case <-clock.C:
				e = balancer.TimerFired{}
			case <-ctx.Done():
			}
		}
	}()
	return lists
}

// TestKnownSixSecondsAfterAnyFailure: at any moment at which discovery can be reached, the list is known that it had 6 s
// ago, if it could be reached since, whichever calls failed before and however. A watch that fell silent has its own
// clock, if that ends later.
func TestKnownSixSecondsAfterAnyFailure(t *testing.T) {
	const length, step = 3 * time.Minute, 50 * time.Millisecond
	for _, way := range []struct {
		name  string
		nodes int
	}{{"pushed", 0}, {"asked for", 1}, {"asked for by a fleet", 30}, {"asked for by the largest that keeps to it however long", 36}, {"list service", -1}} {
		t.Run(way.name, func(t *testing.T) {
			for seed := range uint64(30) {
				var d *troubled
				inBubble(t, func(_ int, w http.ResponseWriter, r *http.Request) { d.serve(w, r) }, func(ctx context.Context, s *standIn) {
					d = newTroubled(seed, length)
					var lists chan took
					switch way.nodes {
					case 0:
						var p *Platform
						p, lists = s.platform(false)
						p.dial = d.dial(p.dial)
						p.Follow(ctx)
					case -1:
						var k *Client
						k, lists = s.service(5 * time.Second)
						defer k.Close()
						transport := k.http.Transport.(*http.Transport)
						transport.DialContext = d.dial(transport.DialContext)
						k.list = NewListState(DefaultHoldBack, List{Epoch: "e", Version: 41, Endpoints: []registry.Endpoint{{Name: "s"}}})
						go k.Follow(ctx)
					default:
						p, words := s.platform(true)
						p.dial = d.dial(p.dial)
						lists = modulePlays(ctx, p, words, s.now, way.nodes, int64(seed))
					}
					known := uint64(41)
					for now := step; now < length; now += step {
						time.Sleep(step)
						for len(lists) > 0 {
							known = (<-lists).Index
						}
						up, since, _ := d.reached(now)
						d.mu.Lock()
						excused := now < d.excuse
						d.mu.Unlock()
						was, _ := d.version(now - 6*time.Second)
						if up && since <= now-6*time.Second && !excused && known < was {
							t.Errorf("seed %d: at %v it knows version %d, discovery had %d 6 s ago and can be reached since %v", seed, now, known, was, since)
							break
						}
					}
				})
				if t.Failed() {
					return
				}
			}
		})
	}
}
