package client

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// afterSilence is the clock for a call that began at t0 and fell silent later: what
// it misses counts as told 6 s after that, or 2 s after its hold if that is later.
func afterSilence(began, fell, hold time.Duration) time.Duration {
	return max(fell+6*time.Second, began+hold+2*time.Second)
}

type silence struct {
	name  string
	after time.Duration
	serve http.HandlerFunc
}

// silences are the ways in which one call falls silent, so long after it came.
var silences = []silence{
	{"at once", 0, silent},
	{"after a while", 3 * time.Second, silent},
	{"amid the answer", 0, half},
	{"amid a late answer", 4 * time.Second, half},
}

// TestSilentCallIsMadeAnew in time: the list that it missed is there before it counts as told, where lists are pushed
// also if the call made anew falls silent, too.
func TestSilentCallIsMadeAnew(t *testing.T) {
	for _, c := range []struct {
		name  string
		asked bool
		call  int // that falls silent
		row   int // how many calls do so from there on
		hold  time.Duration
	}{
		{"pushed, the first call", false, 0, 1, 0},
		{"pushed, the watch", false, 1, 1, 0},
		{"pushed, a later watch", false, 2, 1, 0},
		{"pushed, the first two calls", false, 0, 2, 0},
		{"pushed, the watch and the call anew", false, 1, 2, 0},
		{"asked for, the watch", true, 0, 1, holdPolled},
		{"asked for, a later watch", true, 1, 1, holdPolled},
	} {
		for _, how := range silences {
			t.Run(c.name+" "+how.name, func(t *testing.T) {
				inBubble(t, func(call int, w http.ResponseWriter, r *http.Request) {
					switch {
					case call < c.call:
						tell(w, uint64(42+call))
					case call == c.call:
						time.Sleep(how.after)
						how.serve(w, r)
					case call == c.call+c.row:
						tell(w, 100)
					default:
						silent(w, r)
					}
				}, func(ctx context.Context, s *standIn) {
					d, lists := s.platform(c.asked)
					if c.asked {
						d.Poll(ctx, false, true)
					} else {
						d.Follow(ctx)
					}
					for range c.call {
						next(t, lists)
					}
					began := s.now()
					l := next(t, lists)
					limit := afterSilence(began, began+how.after, c.hold)
					if !c.asked && c.call == 0 && c.row == 1 {
						limit = 2 * time.Second // for which an upgrade waits
					}
					if l.Index != 100 || l.at > limit {
						t.Errorf("list %d after %v, want it by %v", l.Index, l.at, limit)
					}
				})
			})
		}
	}
}

// TestDiscoveryThatStaysSilent is a matter for the balancer where lists are asked for, which spreads its calls.
func TestDiscoveryThatStaysSilent(t *testing.T) {
	inBubble(t, func(_ int, w http.ResponseWriter, r *http.Request) { silent(w, r) }, func(ctx context.Context, s *standIn) {
		d, lists := s.platform(true)
		d.Poll(ctx, false, true)
		if l := next(t, lists); l.at > 0 || -l.at > holdPolled+4*time.Second {
			t.Errorf("list %d at %v, want a failure, soon after the second call", l.Index, l.at)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if len(s.calls) != 2 || len(lists) != 0 {
			t.Errorf("%d calls and %d more words, want 2 calls and one failure", len(s.calls), len(lists))
		}
	})
}

// TestMoveIsOverInTime: 4 s after SIGHUP the list of the new address counts as told, also where the first call there
// or the old watch falls silent.
func TestMoveIsOverInTime(t *testing.T) {
	for name, asked := range map[string]bool{"pushed": false, "asked for": true} {
		for _, how := range silences {
			t.Run(name+" "+how.name, func(t *testing.T) {
				var moved atomic.Int32
				inBubble(t, func(call int, w http.ResponseWriter, r *http.Request) {
					var at int32 // of the calls at the new address
					if r.Host == "two:1" {
						at = moved.Add(1)
					}
					switch at {
					case 1:
						time.Sleep(how.after)
						how.serve(w, r)
					case 2:
						tell(w, 7) // versions begin anew
					default:
						silent(w, r)
					}
				}, func(ctx context.Context, s *standIn) {
					d, lists := s.platform(asked)
					if asked {
						d.Poll(ctx, false, true)
					} else {
						d.Follow(ctx)
					}
					time.Sleep(300 * time.Millisecond)
					hup := s.now()
					d.Move(ctx, "two:1", asked)
					if l := next(t, lists); l.Index != 7 || l.at > hup+4*time.Second {
						t.Errorf("list %d at %v, SIGHUP came at %v", l.Index, l.at, hup)
					}
					synctest.Wait()
					if last := s.calls[len(s.calls)-1]; last.host != "two:1" || last.from != "7" {
						t.Errorf("it goes on at %s from %s", last.host, last.from)
					}
				})
			})
		}
	}
}

// TestPushedListAfterAnOutage counts from the moment at which the agent has it, so it is taken soon after, however
// long the outage was.
func TestPushedListAfterAnOutage(t *testing.T) {
	for length := 100 * time.Millisecond; length < 9*time.Second; length += 370 * time.Millisecond {
		inBubble(t, func(call int, w http.ResponseWriter, r *http.Request) {
			if call == 0 {
				tell(w, 42)
				return
			}
			silent(w, r)
		}, func(ctx context.Context, s *standIn) {
			s.down = length
			d, lists := s.platform(false)
			d.Follow(ctx)
			if l := next(t, lists); l.at > length+400*time.Millisecond {
				t.Errorf("after an outage of %v the list comes at %v", length, l.at)
			}
		})
	}
}

// TestSilentOutage: a watch is open when the agent falls silent. What that has at its return is asked for soon after,
// once the watch is known to be silent, though it never answers the calls of the outage.
func TestSilentOutage(t *testing.T) {
	for length := 100 * time.Millisecond; length < 12*time.Second; length += 370 * time.Millisecond {
		var fell time.Time
		inBubble(t, func(call int, w http.ResponseWriter, r *http.Request) {
			switch from := r.URL.Query().Get("from"); {
			case call == 0:
				fell = time.Now()
				tell(w, 42)
			case call > 1 && from == "42" && time.Since(fell) >= length:
				tell(w, 100)
			default:
				silent(w, r)
			}
		}, func(ctx context.Context, s *standIn) {
			d, lists := s.platform(false)
			d.Follow(ctx)
			next(t, lists)
			known := holdPushed + gracePushed
			if l := next(t, lists); l.Index != 100 || l.at > max(known, length+gracePushed+3*maxPlatformBackoff/2) {
				t.Errorf("after an outage of %v the list %d comes at %v", length, l.Index, l.at)
			}
		})
	}
}

// TestSilentService: the client of the project's own registry keeps to the same clock, and to that of a second
// call that falls silent.
func TestSilentService(t *testing.T) {
	const hold = 5 * time.Second
	for call, held := range []time.Duration{0, hold, hold} {
		row := 1
		if call == 2 {
			call, row = 1, 2
		}
		for _, how := range silences {
			t.Run(how.name, func(t *testing.T) {
				inBubble(t, func(n int, w http.ResponseWriter, r *http.Request) {
					switch {
					case n < call:
						tell(w, 42)
					case n == call:
						time.Sleep(how.after)
						how.serve(w, r)
					case n == call+row:
						tell(w, 100)
					default:
						silent(w, r)
					}
				}, func(ctx context.Context, s *standIn) {
					k, lists := s.service(hold)
					defer k.Close()
					go k.Follow(ctx)
					for range call {
						next(t, lists)
					}
					l := next(t, lists)
					limit := afterSilence(0, how.after, held)
					if synctest.Wait(); row > 1 {
						limit = afterSilence(s.calls[call+1].came, s.calls[call+1].came, 0)
					}
					if l.Index != 100 || l.at > limit {
						t.Errorf("list %d after %v, counts as told after %v", l.Index, l.at, limit)
					}
				})
			})
		}
	}
}
