package scale

import "testing"

// TestSecondHolderTakesOverWithoutDoubleGrants checks that the second holder reaches all nodes within two
// seconds and that nothing is granted twice. The same run judged by half of the limit has to exceed it, so
// that the check is known to detect an excess.
func TestSecondHolderTakesOverWithoutDoubleGrants(t *testing.T) {
	for judged, fine := range map[float64]bool{1: true, 0.5: false} {
		s, err := newShares(20)
		if err != nil {
			t.Fatal(err)
		}
		s.rate *= judged
		f, err := s.measureKill(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if f["over_burst"] == 0 != fine || f["heard_all_s"] > 2 || f["settled_s"] == 0 || f["holder_datagrams_per_s"] > 6*20 {
			t.Errorf("against %v of the limit: got the figures %v", judged, f)
		}
	}
}
