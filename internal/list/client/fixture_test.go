package client

import (
	"testing"

	"indigotack/internal/fixture"
	"indigotack/internal/list"
)

// TestCachedListFormIsUnchanged compares the file that a client starts from with golden files.
func TestCachedListFormIsUnchanged(t *testing.T) {
	for name, sample := range map[string]any{"view": &View{}, "kept": &kept{}} {
		t.Run(name, func(t *testing.T) { fixture.AssertJSON(t, name, sample) })
	}
	path := t.TempDir() + "/list"
	v := View{Epoch: "e", Version: 7, Total: 9, Part: list.Part{From: 4, Width: 16}, Entries: []list.Entry{{Name: "s", Address: "a:1", Status: list.Ready}}}
	if err := save(path, v); err != nil {
		t.Fatal(err)
	}
	fixture.AssertFile(t, "cached-part", path)
}
