package registry

import (
	"fmt"
	"testing"
	"time"
)

// fullState returns a state with n endpoints.
func fullState(n int) *State {
	s := NewState()
	s.Apply(Command{Op: OpBegin, Epoch: "e"})
	for i := range n {
		s.Apply(Command{Op: OpRegister, ID: fmt.Sprintf("%032x", i), TTL: MinTTL, Endpoint: &Endpoint{Name: fmt.Sprintf("s-%08x", i), Address: fmt.Sprintf("10.1.%d.%d:5000", i>>8&255, i&255), Zone: "a", Type: "m2", Status: Ready, Weight: 1, StartedAtMS: 1}})
	}
	return s
}

// BenchmarkFullList measures what a list of full size costs a replica: a change, a snapshot (which blocks
// changes), its decoding, and the read of a subset.
func BenchmarkFullList(b *testing.B) {
	for _, n := range []int{20000, MaxEndpoints} {
		s := fullState(n)
		raw, err := s.EncodeSnapshot()
		if err != nil || s.Len() != n {
			b.Fatal(err, s.Len())
		}
		b.Run(fmt.Sprint("change/", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				s.Apply(Command{Op: OpRegister, Endpoint: &Endpoint{Name: fmt.Sprintf("s-%08x", i%n), Address: "a:1", Status: Ready, Weight: float64(i)}})
			}
		})
		b.Run(fmt.Sprint("add-and-remove/", n), func(b *testing.B) {
			for i := range b.N {
				name := fmt.Sprintf("s-%08x", i%n)
				s.Apply(Command{Op: OpRemove, Name: name})
				s.Apply(Command{Op: OpRegister, Endpoint: &Endpoint{Name: name, Address: "a:1", Status: Ready}})
			}
		})
		b.Run(fmt.Sprint("snapshot/", n), func(b *testing.B) {
			b.ReportMetric(float64(len(raw)), "bytes")
			for range b.N {
				_, _ = s.EncodeSnapshot()
			}
		})
		b.Run(fmt.Sprint("restore/", n), func(b *testing.B) {
			for range b.N {
				if _, err := DecodeSnapshot(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprint("subset/", n), func(b *testing.B) {
			p := SubsetOf(7, 4300, n)
			b.ReportMetric(float64(len(s.SubsetSince(p, 0).Endpoints)), "entries")
			for range b.N {
				s.SubsetSince(p, 0)
			}
		})
	}
}

// BenchmarkExpiryCheck measures the leader's check of all deadlines, made ten times per second, with the
// renewals that come between two checks.
func BenchmarkExpiryCheck(b *testing.B) {
	for _, n := range []int{4300, MaxEndpoints} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := fullState(n)
			const ttl, checks = 10 * time.Second, 33 // looks: checks between two renewals of an entry
			items, now := s.Registrations(), time.Duration(0)
			for i := range items {
				items[i].TTL = ttl
			}
			expiry := NewEndpointExpiry(items, now)
			for i := range b.N {
				now += 100 * time.Millisecond
				for k := i % checks; k < n; k += checks {
					expiry.Renew(items[k].Endpoint.Name, now)
				}
				if due, retained := expiry.Due(now); len(due)+retained > 0 {
					b.Fatal(len(due), retained)
				}
			}
		})
	}
}
