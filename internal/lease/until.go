package lease

import "time"

// Until gives the time before which nobody else can hold a duty that this process holds under the fence: so long
// its holder may act for the duty without asking anybody. Each renewal moves it on. It is zero once the work is told
// to stop. Work that was paused asks it after it has taken up what it acts on, not before.
func (p *Process) Until(f Fence) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.core.wants {
		if w.wish.Duty == f.Duty && w.running == f.Fence && w.heard == f.Fence && w.told == 0 && p.core.holds(w, p.now()) {
			return p.start.Add(p.core.until)
		}
	}
	return time.Time{}
}
