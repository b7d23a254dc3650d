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
	careless   bool // broken variant: counts the TTL from 1 s after the answer instead of from the call
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
		if holds := e.Read.Lease.Holder == h.session; holds != h.holdsLease {
			h.holdsLease = holds
			out = append(out, Note{map[bool]string{true: "takes over", false: "lets go"}[holds]})
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
			acting := func() (names []string) {
				for _, host := range w.Hosts() {
					if h, ok := host.Actor().(*holder); ok && !host.Paused() && h.acts(host.Clock()) {
						names = append(names, host.Name)
					}
				}
				return names
			}
			return []Check{
				{Name: "one at most", Throughout: func() error {
					if names := acting(); len(names) > 1 {
						return fmt.Errorf("%v act at once, want at most one", names)
					}
					return nil
				}},
				{Name: "one in the end", AtEnd: func() error {
					running := 0
					for _, host := range w.Hosts() {
						if host.Running() {
							running++
						}
					}
					if names := acting(); running > 0 && len(names) != 1 {
						return fmt.Errorf("%v act, want one", names)
					}
					return nil
				}},
			}
		}}
}

// TestAtMostOneHolderActs: with correct holders no schedule violates a check.
func TestAtMostOneHolderActs(t *testing.T) {
	p := holderPlay(false)
	for seed := uint64(1); seed <= 100; seed++ {
		faults := p.Faults(seed)
		if _, violation := p.Run(seed, faults); violation != nil {
			t.Fatal(p.Explain(seed, faults, violation))
		}
	}
}

// TestCarelessHolderIsFoundAndReproduced: a careless holder violates the check "one at most". Shrink leaves
// no fault that could be dropped, and the same seed and faults give the same violation and the same drawing.
func TestCarelessHolderIsFoundAndReproduced(t *testing.T) {
	p := holderPlay(true)
	for seed := uint64(1); seed <= 100; seed++ {
		faults := p.Faults(seed)
		_, violation := p.Run(seed, faults)
		if violation == nil {
			continue
		}
		if violation.Check != "one at most" {
			t.Fatalf("found by the wrong check: %v", violation)
		}
		needed := p.Shrink(seed, faults, violation.Check)
		first, violation1 := p.Run(seed, needed)
		second, violation2 := p.Run(seed, needed)
		if violation1 == nil || violation2 == nil || violation1.Error() != violation2.Error() || p.Drawing.Draw(first.Log()) != p.Drawing.Draw(second.Log()) {
			t.Fatalf("two runs with the same seed differ: %v, %v", violation1, violation2)
		}
		for i := range needed {
			if _, violation := p.Run(seed, append(append([]Fault{}, needed[:i]...), needed[i+1:]...)); violation != nil && violation.Check == "one at most" {
				t.Errorf("Shrink left a fault that could be dropped: %v", needed[i])
			}
		}
		return
	}
	t.Fatal("not found in 100 schedules")
}
