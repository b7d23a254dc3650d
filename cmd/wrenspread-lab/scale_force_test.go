package main

import (
	"testing"

	"wrenspread/internal/lab/scale"
)

// TestForceRecordsPolicyTenantAndBanAtEachNode checks the figures of three hollow nodes: each node applies
// each policy once and a tenant in 2 to 4 catalogues, and policies, tenants and bans reach the last node
// within 60 s.
func TestForceRecordsPolicyTenantAndBanAtEachNode(t *testing.T) {
	f := scale.Propagation{RegistryRun: registryMeasurement(t), ChangesPerKind: 2, ChangeRate: 20}
	if err := f.Measure(t.Context(), []int{3}); err != nil {
		t.Fatal(err)
	}
	for name, bounds := range map[string][2]float64{
		"policy_taken":  {1, 1},
		"tenant_taken":  {2, 4}, // prepared, then served; the member record can add more
		"policy_last_s": {0, 60},
		"tenant_last_s": {0, 60},
		"ban_last_s":    {0, 60},
		"descriptors":   {1, 60},
	} {
		if got := recordedMedians(t, f.RegistryRun, name)[0]; got < bounds[0] || got > bounds[1] {
			t.Errorf("%s is %v, want %v to %v", name, got, bounds[0], bounds[1])
		}
	}
}
