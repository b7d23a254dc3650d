package client

import (
	"testing"

	"wrenspread/internal/fixture"
	"wrenspread/internal/registry"
)

// TestCachedListFormIsUnchanged compares the cache file of a client with golden files.
func TestCachedListFormIsUnchanged(t *testing.T) {
	for name, sample := range map[string]any{"list": &List{}, "cached-list": &cachedList{}} {
		t.Run(name, func(t *testing.T) { fixture.AssertJSON(t, name, sample) })
	}
	path := t.TempDir() + "/list"
	v := List{Epoch: "e", Version: 7, Total: 9, Subset: registry.Subset{Start: 4, Width: 16}, Endpoints: []registry.Endpoint{{Name: "s", Address: "a:1", Status: registry.Ready}}}
	if err := writeCache(path, v); err != nil {
		t.Fatal(err)
	}
	fixture.AssertFile(t, "cached-subset", path)
}
