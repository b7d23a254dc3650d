package sim

import (
	"fmt"
	"testing"
	"time"

	"wrenspread/internal/registry"
	"wrenspread/internal/timeline"
)

const holderTTL = 2 * time.Second

// holder is a minimal core that uses the registry: it campaigns for one lease, and acts as long as it holds
// the lease by its own clock.
type holder struct {
	name       string
	session    string
	callCount  uint64
	sentAt     map[uint64]time.Duration // send times of calls, by call number
	actsUntil  time.Duration            // by the clock of its host
	holdsLease bool
	careless   bool // broken variant: takes the TTL to begin 1 s after the answer instead of at the call
}

func (h *holder) acts(now time.Duration) bool { return h.holdsLease && now < h.actsUntil }

func (h *holder) Handle(now time.Duration, e Event) (out []Effect) {
	call := func(c Call) {
		h.callCount++
		c.Number = h.callCount
		c.Read = Read{Lease: "pen"}
		h.sentAt[c.Number] = now
		out = append(out, c)
	}
	switch e := e.(type) {
	case Started, Tick:
		out = append(out, Wake{After: holderTTL / 4})
		if h.session == "" {
			h.session = fmt.Sprintf("%s-%d", h.name, now)
			call(Call{Command: &registry.Command{Op: registry.OpOpenSession, Session: &registry.Session{ID: h.session, Process: h.name, TTL: holderTTL}}})
			call(Call{Command: &registry.Command{Op: registry.OpCampaign, Session: &registry.Session{ID: h.session}, Candidacies: []registry.Candidacy{{Lease: "pen"}}}})
			break
		}
		call(Call{Renew: h.session})
	case Answer:
		if e.Lost {
			break
		}
		if e.Result.Code == registry.NotFound {
			h.session, h.holdsLease = "", false
			break
		}
		askedAt := h.sentAt[e.Call.Number]
		if h.careless {
			askedAt = now + time.Second
		}
		h.actsUntil = max(h.actsUntil, askedAt+holderTTL-time.Duration(2*MaxClockDrift*float64(holderTTL)))
		if has := e.Read.Lease.Holder == h.session; has != h.holdsLease {
			h.holdsLease = has
			out = append(out, Note{map[bool]string{true: "takes over", false: "lets go"}[has]})
		}
	}
	return out
}

// holderPlay returns a play of three holders. Its checks: at most one holder acts at a time, and in the end
// exactly one does if any runs.
func holderPlay(careless bool) Play {
	names := []string{"a", "b", "c"}
	return Play{Names: names, Kinds: []FaultKind{Kill, Pause, Late, CutOff, OneWay, Deaf, SlowPair, Halves, Lossy, Doubled, Flap, ServiceDown, Unreachable},
		MaxFaults: 6, WarmUp: time.Second, FaultWindow: 20 * time.Second, RecoveryTime: 8 * time.Second, CheckInterval: 50 * time.Millisecond,
		Drawing: timeline.Drawing{Columns: append([]string{ServiceName}, names...)},
		Build: func(w *World) []Check {
			w.AddService()
			for _, n := range names {
				w.Add(n, func(time.Duration) Actor {
					return &holder{name: n, sentAt: map[uint64]time.Duration{}, careless: careless}
				})
			}
			acting := func() (all []string) {
				for _, e := range w.Hosts() {
					if h, ok := e.Actor().(*holder); ok && !e.Paused() && h.acts(e.Clock()) {
						all = append(all, e.Name)
					}
				}
				return all
			}
			return []Check{
				{Name: "one at most", Throughout: func() error {
					if all := acting(); len(all) > 1 {
						return fmt.Errorf("%v act at once", all)
					}
					return nil
				}},
				{Name: "one in the end", AtEnd: func() error {
					up := 0
					for _, e := range w.Hosts() {
						if e.Running() {
							up++
						}
					}
					if all := acting(); up > 0 && len(all) != 1 {
						return fmt.Errorf("%v act", all)
					}
					return nil
				}},
			}
		}}
}

// With correct holders no schedule violates a check.
func TestAtMostOneHolderActs(t *testing.T) {
	p := holderPlay(false)
	for seed := uint64(1); seed <= 100; seed++ {
		faults := p.Faults(seed)
		if _, b := p.Run(seed, faults); b != nil {
			t.Fatal(p.Explain(seed, faults, b))
		}
	}
}

// A careless holder is found by the check for it. Shrink leaves no fault that could be dropped, and the same
// seed and faults give the same violation and the same drawing.
func TestCarelessHolderIsFoundAndReproduced(t *testing.T) {
	p := holderPlay(true)
	for seed := uint64(1); seed <= 100; seed++ {
		faults := p.Faults(seed)
		_, b := p.Run(seed, faults)
		if b == nil {
			continue
		}
		if b.Check != "one at most" {
			t.Fatalf("found by the wrong check: %v", b)
		}
		needed := p.Shrink(seed, faults, b.Check)
		first, b1 := p.Run(seed, needed)
		second, b2 := p.Run(seed, needed)
		if b1 == nil || b2 == nil || b1.Error() != b2.Error() || p.Drawing.Draw(first.Log()) != p.Drawing.Draw(second.Log()) {
			t.Fatalf("the same seed gave two histories: %v, %v", b1, b2)
		}
		for i := range needed {
			if _, b := p.Run(seed, append(append([]Fault{}, needed[:i]...), needed[i+1:]...)); b != nil && b.Check == "one at most" {
				t.Errorf("Shrink left a fault that could be dropped: %v", needed[i])
			}
		}
		return
	}
	t.Fatal("not found in 100 schedules")
}
