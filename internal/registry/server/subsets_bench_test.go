package server

import (
	"fmt"
	"testing"

	"wrenspread/internal/registry"
)

// BenchmarkChange measures what a change of one of 54,000 endpoints costs a replica between the log and the
// sockets: finding the affected watchers, waking them and encoding their responses.
func BenchmarkChange(b *testing.B) {
	const servers = 54000
	m := &machine{state: registry.NewState()}
	m.state.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e"})
	for i := range servers {
		e := entry(fmt.Sprintf("s-%08x", i), 1)
		e.Zone, e.Type, e.Address = "a", "m2", "10.1.2.3:5000"
		m.state.Apply(registry.Command{Op: registry.OpRegister, Endpoint: e})
	}
	weight := 1 // changes with each iteration, so that each write is a change
	for _, watchers := range []int{300, 1000, 4300} {
		for _, bySubset := range []bool{false, true} {
			b.Run(fmt.Sprint(watchers, "/", map[bool]string{false: "complete", true: "subsets"}[bySubset]), func(b *testing.B) {
				h := newHub(m)
				h.publishList(m.state)
				waiting := map[*watcher]query{}
				for i := range watchers {
					q := query{namesSubset: bySubset, from: m.state.Version(), epoch: "e"}
					if bySubset {
						q.subset = registry.SubsetOf(i, 4300, servers)
					}
					w, _ := h.wait(q.subset, q.from, watchers)
					waiting[w] = q
				}
				bytes, woken := 0, 0
				b.ResetTimer()
				for range b.N {
					weight++
					m.state.Apply(registry.Command{Op: registry.OpRegister, Endpoint: entry(fmt.Sprintf("s-%08x", weight*7919%servers), weight)})
					h.publishList(m.state)
					var due []*watcher
					for _, g := range h.dueGroups {
						for w := range g.watchers {
							due = append(due, w)
						}
					}
					for h.wakeNextBatch() {
					}
					for _, w := range due {
						q := waiting[w]
						q.from = h.leave(w)
						head, entries, err := h.encodeResponse(q)
						if err != nil {
							b.Fatal(err)
						}
						bytes, woken = bytes+len(head)+len(entries)+1, woken+1
						delete(waiting, w)
						q.from = m.state.Version()
						again, _ := h.wait(q.subset, q.from, watchers)
						waiting[again] = q
					}
				}
				b.ReportMetric(float64(bytes)/float64(b.N), "bytes/change")
				b.ReportMetric(float64(woken)/float64(b.N), "woken/change")
			})
		}
	}
}
