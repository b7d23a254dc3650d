package scale

import "testing"

// TestSecondAllocatorTakesOverWithoutDoubleGrants checks that the second allocator reaches all nodes within
// two seconds, and that nothing is granted twice. The same run has to exceed half of the limit, which shows
// that the check detects an excess.
func TestSecondAllocatorTakesOverWithoutDoubleGrants(t *testing.T) {
	for share, withinLimit := range map[float64]bool{1: true, 0.5: false} {
		s, err := newAllocatorModel(20)
		if err != nil {
			t.Fatal(err)
		}
		s.limitRate *= share
		f, err := s.measureFailover(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if f["over_burst"] == 0 != withinLimit || f["heard_all_s"] > 2 || f["settled_s"] == 0 || f["holder_datagrams_per_s"] > 6*20 {
			t.Errorf("against %v of the limit: got the figures %v", share, f)
		}
	}
}
