package main

import (
	"os"
	"testing"

	"wrenspread/internal/lab/scale"
)

// TestPairsCounted: a tenant that is brought in is some kilobytes to each node.
func TestPairsCounted(t *testing.T) {
	p := scale.Pairs{Nodes: scale.Nodes{Lists: lists(t), Kind: "hollow", Start: []string{os.Args[0], "scale", "hollow"}}}
	if err := p.Tenants(t.Context(), []int{6}, []int{3}); err != nil {
		t.Fatal(err)
	}
	in := figureOf(t, p.Lists, "change_bytes_in")
	if len(in) != 1 || in[0] < 300 || in[0] > 20_000 {
		t.Errorf("a tenant is %v bytes to a node", in)
	}
}
