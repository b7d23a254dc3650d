package main

import (
	"os"
	"testing"

	"wrenspread/internal/lab/scale"
)

// TestTenantChangeIsSomeKilobytesPerNode checks that a new tenant costs each node 300 to 20,000 bytes.
func TestTenantChangeIsSomeKilobytesPerNode(t *testing.T) {
	p := scale.Pairs{Nodes: scale.Nodes{RegistryRun: registryMeasurement(t), Kind: "hollow",
		StartCommand: []string{os.Args[0], "scale", "hollow"}}}
	if err := p.Tenants(t.Context(), []int{6}, []int{3}); err != nil {
		t.Fatal(err)
	}
	bytesIn := recordedMedians(t, p.RegistryRun, "change_bytes_in")
	if len(bytesIn) != 1 || bytesIn[0] < 300 || bytesIn[0] > 20_000 {
		t.Errorf("change_bytes_in of a new tenant is %v, want one figure of 300 to 20000", bytesIn)
	}
}
