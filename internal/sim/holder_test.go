package sim

import (
	"fmt"
	"testing"
	"time"

	"wrenspread/internal/registry"
	"wrenspread/internal/timeline"
)

const holderTTL = 2 * time.Second

// holder is the smallest core that needs the registry: it wants one lease, and acts while its own clock says that it has it.
type holder struct {
	name     string
	session  string
	calls    uint64
	sentAt   map[uint64]time.Duration // renewals under way, by call
	until    time.Duration            // by its own clock
	has      bool
	careless bool // a broken stand-in: it counts its time from the answer instead of from the asking, and without drift
}

func (h *holder) acts(now time.Duration) bool { return h.has && now < h.until }

func (h *holder) Handle(now time.Duration, e Event) (out []Effect) {
	call := func(c Call) {
		h.calls++
		c.Number = h.calls
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
			h.session, h.has = "", false
			break
		}
		asked := h.sentAt[e.Call.Number]
		if h.careless {
			asked = now + time.Second
		}
		h.until = max(h.until, asked+holderTTL-time.Duration(2*MaxClockDrift*float64(holderTTL)))
		if has := e.Read.Lease.Holder == h.session; has != h.has {
			h.has = has
			out = append(out, Note{map[bool]string{true: "takes over", false: "lets go"}[has]})
		}
	}
	return out
}

// holders is a play in which one at most acts at a time.
func holders(careless bool) Play {
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

func TestHolders(t *testing.T) {
	p := holders(false)
	for seed := uint64(1); seed <= 100; seed++ {
		faults := p.Faults(seed)
		if _, b := p.Run(seed, faults); b != nil {
			t.Fatal(p.Explain(seed, faults, b))
		}
	}
}

// A holder that counts wrongly is found, with few faults left of its schedule, and the same seed tells the same story.
func TestCarelessHolder(t *testing.T) {
	p := holders(true)
	for seed := uint64(1); seed <= 100; seed++ {
		faults := p.Faults(seed)
		_, b := p.Run(seed, faults)
		if b == nil {
			continue
		}
		if b.Check != "one at most" {
			t.Fatalf("found by %v", b)
		}
		least := p.Shrink(seed, faults, b.Check)
		one, b1 := p.Run(seed, least)
		two, b2 := p.Run(seed, least)
		if b1 == nil || b2 == nil || b1.Error() != b2.Error() || p.Drawing.Draw(one.Log()) != p.Drawing.Draw(two.Log()) {
			t.Fatalf("the same seed told two stories: %v, %v", b1, b2)
		}
		for i := range least {
			if _, b := p.Run(seed, append(append([]Fault{}, least[:i]...), least[i+1:]...)); b != nil && b.Check == "one at most" {
				t.Errorf("%v could be dropped", least[i])
			}
		}
		return
	}
	t.Fatal("not found in 100 schedules")
}
