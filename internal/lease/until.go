package lease

import "time"

// HeldUntil gives the time before which nobody else can hold a duty that this process holds under the fence: so long
// its holder may act for the duty without asking anybody. Each renewal moves it on. It is zero once the work is told
// to stop. Work that was paused asks it after it has taken up what it acts on, not before.
func (p *Session) HeldUntil(f Token) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.core.candidacies {
		if w.spec.Lease == f.Lease && w.runningToken == f.Number && w.token == f.Number && w.stopRequestedAt == 0 && p.core.holds(w, p.now()) {
			return p.start.Add(p.core.safeUntil)
		}
	}
	return time.Time{}
}
