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

// flakyDiscovery is a discovery whose list changes and which is unreachable from time to time. A call made
// during an outage fails in a drawn way; a watch that waits when an outage begins falls silent or is reset.
type flakyDiscovery struct {
	mu          sync.Mutex
	rng         *rand.Rand
	start       time.Time
	transitions []time.Duration // when it becomes unreachable and reachable, in turn; it is reachable at first
	changes     []time.Duration // when its list changes
	silentUntil time.Duration   // until then, a silent watch may still be within its bound
}

const firstVersion = 42

// newFlakyDiscovery draws the outages and changes of a discovery for a test of a given length.
func newFlakyDiscovery(seed uint64, length time.Duration) *flakyDiscovery {
	d := &flakyDiscovery{rng: rand.New(rand.NewPCG(seed, 6)), start: time.Now()}
	upTo := func(limit time.Duration) time.Duration { return time.Duration(d.rng.Int64N(int64(limit))) }
	for at, down := 4*time.Second, false; at < length; down = !down {
		if at += 100*time.Millisecond + upTo(14*time.Second); down {
			at += 4 * time.Second
		}
		d.transitions = append(d.transitions, at)
	}
	for at := upTo(3 * time.Second); at < length; at += 10*time.Millisecond + upTo(5*time.Second) {
		d.changes = append(d.changes, at)
	}
	return d
}

// reachable returns whether the discovery can be reached at a time, since when this has been so, and when it
// changes.
func (d *flakyDiscovery) reachable(now time.Duration) (up bool, since, until time.Duration) {
	up, until = true, time.Hour
	for _, transition := range d.transitions {
		if transition > now {
			return up, since, transition
		}
		up, since = !up, transition
	}
	return up, since, until
}

// version returns the discovery's version at a time, and when the next change comes.
func (d *flakyDiscovery) version(now time.Duration) (v uint64, next time.Duration) {
	for i, at := range d.changes {
		if at > now {
			return firstVersion + uint64(i), at
		}
	}
	return firstVersion + uint64(len(d.changes)), time.Hour
}

// draw returns a random number below n.
func (d *flakyDiscovery) draw(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n)
}

// dial wraps a dial function. It fails or hangs in half of the dials during an outage.
func (d *flakyDiscovery) dial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if up, _, _ := d.reachable(time.Since(d.start)); !up {
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

// serve answers a call, or lets it fail in a drawn way if the discovery can't be reached.
func (d *flakyDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Since(d.start)
	if up, _, _ := d.reachable(arrivedAt); !up {
		switch d.draw(5) {
		case 0:
			panic(http.ErrAbortHandler)
		case 1:
			respondUnavailable(w, r)
		case 2:
			abortMidResponse(w, r)
		case 3:
			respondHalf(w, r)
		default:
			neverRespond(w, r)
		}
		return
	}
	hold, _ := time.ParseDuration(r.URL.Query().Get("hold_ms") + "ms")
	_, _, until := d.reachable(arrivedAt)
	v, next := d.version(arrivedAt)
	if from := r.URL.Query().Get("from"); from == fmt.Sprint(v) {
		respondAt := min(next, arrivedAt+hold)
		if respondAt >= until {
			if time.Sleep(until - arrivedAt); d.draw(2) == 0 {
				panic(http.ErrAbortHandler)
			}
			d.mu.Lock()
			d.silentUntil = max(d.silentUntil, arrivedAt+hold+2*time.Second)
			d.mu.Unlock()
			neverRespond(w, r)
			return
		}
		time.Sleep(respondAt - arrivedAt)
		v, _ = d.version(respondAt)
	}
	respondWithList(w, v)
}

// followWithBalancer lets the balancer poll for lists, as the proxy does, and passes on the lists that
// arrive.
func followWithBalancer(ctx context.Context, d *PlatformFollower, received chan receivedList, now func() time.Duration, nodes int, seed int64) chan receivedList {
	lists := make(chan receivedList, 100)
	go func() {
		model, ticker := balancer.New(balancer.Settings{Proxies: nodes, PollForEndpoints: true, PollInterval: 10 * time.Second, MinEventInterval: time.Millisecond}, seed), time.NewTicker(25*time.Millisecond)
		defer ticker.Stop()
		for e := balancer.Event(balancer.EndpointsUpdated{Kind: balancer.UpdateCached}); ctx.Err() == nil; {
			for _, a := range model.Handle(time.Hour+now(), e) {
				if a, ok := a.(balancer.Subscribe); ok {
					d.Poll(ctx, false, a.On)
				}
			}
			select {
			case l := <-received:
				e = balancer.EndpointsUpdated{Kind: balancer.UpdateFailed}
				if l.at >= 0 {
					e = balancer.EndpointsUpdated{Kind: balancer.UpdateComplete, Version: l.Index}
					lists <- l
				}
			case <-ticker.C:
				e = balancer.TimerFired{}
			case <-ctx.Done():
			}
		}
	}()
	return lists
}

// TestChangesAreKnownSixSecondsAfterAnyFailure checks that the list that discovery had 6 s ago is known
// whenever discovery could be reached for the last 6 s, whichever calls failed before and however. After a
// watch that fell silent, the bound for that watch applies if it is later.
func TestChangesAreKnownSixSecondsAfterAnyFailure(t *testing.T) {
	const length, step = 3 * time.Minute, 50 * time.Millisecond
	for _, c := range []struct {
		name  string
		nodes int
	}{{"pushed", 0}, {"polled", 1}, {"polled by a fleet", 30}, {"polled by the largest fleet that keeps the bound in any outage", 36}, {"registry", -1}} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(30) {
				var d *flakyDiscovery
				withFakeDiscovery(t, func(_ int, w http.ResponseWriter, r *http.Request) { d.serve(w, r) }, func(ctx context.Context, s *fakeDiscovery) {
					d = newFlakyDiscovery(seed, length)
					var lists chan receivedList
					switch c.nodes {
					case 0:
						var p *PlatformFollower
						p, lists = s.platform(false)
						p.dial = d.dial(p.dial)
						p.Follow(ctx)
					case -1:
						var k *Client
						k, lists = s.service(5 * time.Second)
						defer k.Close()
						transport := k.http.Transport.(*http.Transport)
						transport.DialContext = d.dial(transport.DialContext)
						k.list = NewListState(DefaultDeferralDelay, List{Epoch: "e", Version: 41, Endpoints: []registry.Endpoint{{Name: "s"}}})
						go k.Follow(ctx)
					default:
						p, received := s.platform(true)
						p.dial = d.dial(p.dial)
						lists = followWithBalancer(ctx, p, received, s.now, c.nodes, int64(seed))
					}
					known := uint64(41)
					for now := step; now < length; now += step {
						time.Sleep(step)
						for len(lists) > 0 {
							known = (<-lists).Index
						}
						up, since, _ := d.reachable(now)
						d.mu.Lock()
						watchSilent := now < d.silentUntil
						d.mu.Unlock()
						expected, _ := d.version(now - 6*time.Second)
						if up && since <= now-6*time.Second && !watchSilent && known < expected {
							t.Errorf("seed %d: at %v version %d is known, discovery had %d 6 s ago and can be reached since %v", seed, now, known, expected, since)
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
