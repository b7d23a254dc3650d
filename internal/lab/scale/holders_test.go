package scale

import "testing"

// TestHolderLost: the second holder has all nodes within seconds, and nothing is granted twice; against half of the
// limit the same play is over.
func TestHolderLost(t *testing.T) {
	for judged, fine := range map[float64]bool{1: true, 0.5: false} {
		s, err := newShares(20)
		if err != nil {
			t.Fatal(err)
		}
		s.rate *= judged
		f, err := s.lost(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if f["over_burst"] == 0 != fine || f["heard_all_s"] > 2 || f["settled_s"] == 0 || f["holder_datagrams_per_s"] > 6*20 {
			t.Errorf("judged by %v of the limit: %v", judged, f)
		}
	}
}
