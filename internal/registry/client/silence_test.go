package client

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// afterSilence returns the time by which a change must be known that a silent call missed: 6 s after the call
// fell silent, or 2 s after the end of its hold if that is later.
func afterSilence(began, silentAt, hold time.Duration) time.Duration {
	return max(silentAt+6*time.Second, began+hold+2*time.Second)
}

// silentFailure is a way in which a call falls silent. after is the time from the start of the call.
type silentFailure struct {
	name  string
	after time.Duration
	serve http.HandlerFunc
}

// silentFailures lists the ways in which a call falls silent.
var silentFailures = []silentFailure{
	{"at once", 0, neverRespond},
	{"after a while", 3 * time.Second, neverRespond},
	{"in mid-response", 0, respondHalf},
	{"in a late mid-response", 4 * time.Second, respondHalf},
}

// TestSilentCallIsRepeatedInTime checks that the list that a silent call missed arrives before the bound of
// afterSilence. If lists are pushed, this also holds if the next call falls silent, too.
func TestSilentCallIsRepeatedInTime(t *testing.T) {
	for _, c := range []struct {
		name   string
		polled bool
		call   int // index of the first silent call
		row    int // number of silent calls in a row
		hold   time.Duration
	}{
		{"pushed, the first call", false, 0, 1, 0},
		{"pushed, the watch", false, 1, 1, 0},
		{"pushed, a later watch", false, 2, 1, 0},
		{"pushed, the first two calls", false, 0, 2, 0},
		{"pushed, the watch and the next call", false, 1, 2, 0},
		{"polled, the watch", true, 0, 1, holdPolled},
		{"polled, a later watch", true, 1, 1, holdPolled},
	} {
		for _, failure := range silentFailures {
			t.Run(c.name+" "+failure.name, func(t *testing.T) {
				withFakeDiscovery(t, func(call int, w http.ResponseWriter, r *http.Request) {
					switch {
					case call < c.call:
						respondWithList(w, uint64(42+call))
					case call == c.call:
						time.Sleep(failure.after)
						failure.serve(w, r)
					case call == c.call+c.row:
						respondWithList(w, 100)
					default:
						neverRespond(w, r)
					}
				}, func(ctx context.Context, s *fakeDiscovery) {
					d, lists := s.platform(c.polled)
					if c.polled {
						d.Poll(ctx, false, true)
					} else {
						d.Follow(ctx)
					}
					for range c.call {
						nextList(t, lists)
					}
					began := s.now()
					l := nextList(t, lists)
					limit := afterSilence(began, began+failure.after, c.hold)
					if !c.polled && c.call == 0 && c.row == 1 {
						limit = 2 * time.Second // an upgrade waits for that long
					}
					if l.Index != 100 || l.at > limit {
						t.Errorf("list %d after %v, want it by %v", l.Index, l.at, limit)
					}
				})
			})
		}
	}
}

// TestPolledDiscoveryThatStaysSilentIsReported checks that after two silent calls the failure is reported to
// the balancer, which spreads its calls, and that no further call is made.
func TestPolledDiscoveryThatStaysSilentIsReported(t *testing.T) {
	withFakeDiscovery(t, func(_ int, w http.ResponseWriter, r *http.Request) { neverRespond(w, r) }, func(ctx context.Context, s *fakeDiscovery) {
		d, lists := s.platform(true)
		d.Poll(ctx, false, true)
		if l := nextList(t, lists); l.at > 0 || -l.at > holdPolled+4*time.Second {
			t.Errorf("list %d at %v, want a failure soon after the second call", l.Index, l.at)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if len(s.calls) != 2 || len(lists) != 0 {
			t.Errorf("%d calls and %d more lists or failures, want 2 calls and one failure", len(s.calls), len(lists))
		}
	})
}

// TestMoveCompletesWithinFourSeconds checks that the list of a new address arrives within 4 s of SIGHUP, even
// if the first call to the new address or the watch at the old one falls silent.
func TestMoveCompletesWithinFourSeconds(t *testing.T) {
	for name, polled := range map[string]bool{"pushed": false, "polled": true} {
		for _, failure := range silentFailures {
			t.Run(name+" "+failure.name, func(t *testing.T) {
				var moved atomic.Int32
				withFakeDiscovery(t, func(call int, w http.ResponseWriter, r *http.Request) {
					var at int32 // number of this call among the calls to the new address
					if r.Host == "two:1" {
						at = moved.Add(1)
					}
					switch at {
					case 1:
						time.Sleep(failure.after)
						failure.serve(w, r)
					case 2:
						respondWithList(w, 7) // the new address has versions of its own
					default:
						neverRespond(w, r)
					}
				}, func(ctx context.Context, s *fakeDiscovery) {
					d, lists := s.platform(polled)
					if polled {
						d.Poll(ctx, false, true)
					} else {
						d.Follow(ctx)
					}
					time.Sleep(300 * time.Millisecond)
					movedAt := s.now()
					d.Move(ctx, "two:1", polled)
					if l := nextList(t, lists); l.Index != 7 || l.at > movedAt+4*time.Second {
						t.Errorf("list %d at %v, SIGHUP came at %v", l.Index, l.at, movedAt)
					}
					synctest.Wait()
					if last := s.calls[len(s.calls)-1]; last.host != "two:1" || last.from != "7" {
						t.Errorf("the last call is to %s from version %s", last.host, last.from)
					}
				})
			})
		}
	}
}

// TestPushedListArrivesSoonAfterOutage checks that a pushed list arrives soon after the agent can be reached
// again, because it counts as known from then on, however long the outage was.
func TestPushedListArrivesSoonAfterOutage(t *testing.T) {
	for length := 100 * time.Millisecond; length < 9*time.Second; length += 370 * time.Millisecond {
		withFakeDiscovery(t, func(call int, w http.ResponseWriter, r *http.Request) {
			if call == 0 {
				respondWithList(w, 42)
				return
			}
			neverRespond(w, r)
		}, func(ctx context.Context, s *fakeDiscovery) {
			s.downUntil = length
			d, lists := s.platform(false)
			d.Follow(ctx)
			if l := nextList(t, lists); l.at > length+400*time.Millisecond {
				t.Errorf("after an outage of %v the list arrives at %v", length, l.at)
			}
		})
	}
}

// TestChangeAfterSilentOutageArrivesSoon lets an agent fall silent while a watch is open. A change that the
// agent has after the outage arrives soon after the watch has timed out, although the calls during the outage
// are never answered.
func TestChangeAfterSilentOutageArrivesSoon(t *testing.T) {
	for length := 100 * time.Millisecond; length < 12*time.Second; length += 370 * time.Millisecond {
		var silentSince time.Time
		withFakeDiscovery(t, func(call int, w http.ResponseWriter, r *http.Request) {
			switch from := r.URL.Query().Get("from"); {
			case call == 0:
				silentSince = time.Now()
				respondWithList(w, 42)
			case call > 1 && from == "42" && time.Since(silentSince) >= length:
				respondWithList(w, 100)
			default:
				neverRespond(w, r)
			}
		}, func(ctx context.Context, s *fakeDiscovery) {
			d, lists := s.platform(false)
			d.Follow(ctx)
			nextList(t, lists)
			known := holdPushed + gracePushed
			if l := nextList(t, lists); l.Index != 100 || l.at > max(known, length+gracePushed+3*maxPlatformBackoff/2) {
				t.Errorf("after an outage of %v list %d arrives at %v", length, l.Index, l.at)
			}
		})
	}
}

// TestServiceClientRecoversFromSilentCallsInTime checks the bound of afterSilence for the client of the
// project's own registry, for one silent call and for two in a row.
func TestServiceClientRecoversFromSilentCallsInTime(t *testing.T) {
	const hold = 5 * time.Second
	for call, callHold := range []time.Duration{0, hold, hold} {
		row := 1
		if call == 2 {
			call, row = 1, 2
		}
		for _, failure := range silentFailures {
			t.Run(failure.name, func(t *testing.T) {
				withFakeDiscovery(t, func(n int, w http.ResponseWriter, r *http.Request) {
					switch {
					case n < call:
						respondWithList(w, 42)
					case n == call:
						time.Sleep(failure.after)
						failure.serve(w, r)
					case n == call+row:
						respondWithList(w, 100)
					default:
						neverRespond(w, r)
					}
				}, func(ctx context.Context, s *fakeDiscovery) {
					k, lists := s.service(hold)
					defer k.Close()
					go k.Follow(ctx)
					for range call {
						nextList(t, lists)
					}
					l := nextList(t, lists)
					limit := afterSilence(0, failure.after, callHold)
					if synctest.Wait(); row > 1 {
						limit = afterSilence(s.calls[call+1].startedAt, s.calls[call+1].startedAt, 0)
					}
					if l.Index != 100 || l.at > limit {
						t.Errorf("list %d after %v, want it by %v", l.Index, l.at, limit)
					}
				})
			})
		}
	}
}
