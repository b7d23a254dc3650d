package fencing

import (
	"testing"

	"wrenspread/internal/fixture"
	"wrenspread/internal/registry"
)

// TestStoredFencesAreUnchanged compares the guard's file and the header's value with golden files.
func TestStoredFencesAreUnchanged(t *testing.T) {
	folder := t.TempDir()
	g, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	token := registry.FencingToken{Lease: "quota", Number: 41}
	if err := g.Check(token); err != nil {
		t.Fatal(err)
	}
	fixture.AssertFile(t, "fences", folder+"/fences")
	fixture.Assert(t, "header", []byte(Header+": "+Format(token)))
}
