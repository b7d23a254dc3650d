package registry

import (
	"fmt"
	"testing"
	"time"
)

func fullState(n int) *State {
	s := NewState()
	s.Apply(Command{Do: DoBegin, Epoch: "e"})
	for i := range n {
		s.Apply(Command{Do: DoRegister, ID: fmt.Sprintf("%032x", i), TTL: MinTTL, Entry: &Entry{Name: fmt.Sprintf("s-%08x", i), Address: fmt.Sprintf("10.1.%d.%d:5000", i>>8&255, i&255), Zone: "a", Type: "m2", Status: Ready, Weight: 1, SinceMS: 1}})
	}
	return s
}

// BenchmarkFullList is what a full list costs a replica: a change, a snapshot, which stands in the way of changes, and its reading.
func BenchmarkFullList(b *testing.B) {
	for _, n := range []int{20000, MaxEntries} {
		s := fullState(n)
		raw, err := s.Snapshot()
		if err != nil || s.Len() != n {
			b.Fatal(err, s.Len())
		}
		b.Run(fmt.Sprint("change/", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				s.Apply(Command{Do: DoRegister, Entry: &Entry{Name: fmt.Sprintf("s-%08x", i%n), Address: "a:1", Status: Ready, Weight: float64(i)}})
			}
		})
		b.Run(fmt.Sprint("come-and-go/", n), func(b *testing.B) {
			for i := range b.N {
				name := fmt.Sprintf("s-%08x", i%n)
				s.Apply(Command{Do: DoRemove, Name: name})
				s.Apply(Command{Do: DoRegister, Entry: &Entry{Name: name, Address: "a:1", Status: Ready}})
			}
		})
		b.Run(fmt.Sprint("snapshot/", n), func(b *testing.B) {
			b.ReportMetric(float64(len(raw)), "bytes")
			for range b.N {
				s.Snapshot()
			}
		})
		b.Run(fmt.Sprint("restore/", n), func(b *testing.B) {
			for range b.N {
				if _, err := FromSnapshot(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprint("part/", n), func(b *testing.B) {
			p := PartOf(7, 4300, n)
			b.ReportMetric(float64(len(s.PartSince(p, 0).Endpoints)), "entries")
			for range b.N {
				s.PartSince(p, 0)
			}
		})
	}
}

// BenchmarkLook is the leader's look at all leases, ten times a second, and what the renewals of the time between cost it.
func BenchmarkLook(b *testing.B) {
	for _, n := range []int{4300, MaxEntries} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := fullState(n)
			const ttl, looks = 10 * time.Second, 33 // between two renewals of one
			items, now := s.Items(), time.Duration(0)
			for i := range items {
				items[i].TTL = ttl
			}
			l := NewLeases(items, now)
			for i := range b.N {
				now += 100 * time.Millisecond
				for k := i % looks; k < n; k += looks {
					l.Renew(items[k].Entry.Name, now)
				}
				if due, kept := l.Due(now); len(due)+kept > 0 {
					b.Fatal(len(due), kept)
				}
			}
		})
	}
}
