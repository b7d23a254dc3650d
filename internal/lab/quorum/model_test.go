package quorum

import (
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"wrenspread/internal/registry"
)

func versionPointer(v uint64) *uint64 { return &v }

// sequentialOperations returns operations that take a millisecond each and don't overlap; operations with an
// unknown result stay open.
func sequentialOperations(ops ...op) []porcupine.Operation {
	for i := range ops {
		ops[i].name, ops[i].client = "s", i
		ops[i].from, ops[i].to = time.Duration(2*i)*time.Millisecond, time.Duration(2*i+1)*time.Millisecond
	}
	return operations(ops)
}

// TestModelAcceptsLegalHistoriesAndRejectsViolations checks that the model accepts each history that the
// registry may produce, and rejects each violation: stale reads, lost or repeated writes, ignored conditions
// and versions that don't rise.
func TestModelAcceptsLegalHistoriesAndRejectsViolations(t *testing.T) {
	register := func(weight float64, version uint64) op {
		return op{kind: "register", weight: weight, known: true, status: 200, version: version}
	}
	read := func(weight float64, status string) op {
		return op{kind: "read", known: true, status: 200, found: true, seenWeight: weight, seenStatus: status}
	}
	none := op{kind: "read", known: true, status: 200}
	lost := op{kind: "register", weight: 9}
	remove := op{kind: "remove", known: true, status: 200, version: 7}
	refused := op{kind: "register", weight: 3, ifVersion: versionPointer(1), known: true, status: 409, version: 5}
	for name, c := range map[string]struct {
		ops   []op
		legal bool
	}{
		"as it should be":              {[]op{none, register(1, 5), read(1, registry.Ready), register(1, 5), remove, none}, true},
		"an old read":                  {[]op{register(1, 5), register(2, 6), read(1, registry.Ready)}, false},
		"a write that is gone":         {[]op{register(1, 5), none}, false},
		"a lost write that was done":   {[]op{register(1, 5), lost, read(9, registry.Ready)}, true},
		"a lost write that was not":    {[]op{register(1, 5), lost, read(1, registry.Ready)}, true},
		"a lost write done twice":      {[]op{register(1, 5), lost, read(9, registry.Ready), register(1, 7), read(9, registry.Ready)}, false},
		"a condition that was met":     {[]op{register(1, 5), {kind: "register", weight: 2, ifVersion: versionPointer(5), known: true, status: 200, version: 6}, read(2, registry.Ready)}, true},
		"a condition that was not met": {[]op{register(1, 5), refused, read(1, registry.Ready)}, true},
		"a condition that was ignored": {[]op{register(1, 5), {kind: "register", weight: 2, ifVersion: versionPointer(4), known: true, status: 200, version: 6}}, false},
		"refused for nothing":          {[]op{register(1, 5), {kind: "register", weight: 2, ifVersion: versionPointer(5), known: true, status: 409, version: 5}}, false},
		"a version that goes back":     {[]op{register(1, 5), register(2, 4)}, false},
		"a change without a version":   {[]op{register(1, 5), register(2, 5)}, false},
		"a drain of what is not there": {[]op{{kind: "drain", known: true, status: 200, version: 5}}, false},
		"absent though it is there":    {[]op{register(1, 5), {kind: "remove", known: true, status: 404}}, false},
	} {
		if got := porcupine.CheckOperations(model, sequentialOperations(c.ops...)); got != c.legal {
			t.Errorf("%s: found legal %v", name, got)
		}
	}
}

// TestWatcherViolationsAndDisagreementsAreFound checks that a gap in the changes, a version that goes back,
// an unnecessary complete list, a changed epoch, and two watchers that received different changes are each
// found.
func TestWatcherViolationsAndDisagreementsAreFound(t *testing.T) {
	s := func(weight float64) registry.Endpoint { return registry.Endpoint{Name: "s", Weight: weight} }
	first := registry.ListResponse{Index: 3, Epoch: "e", Snapshot: true, Endpoints: []registry.Endpoint{s(1)}}
	last := registry.ListResponse{Index: 4, Epoch: "e", Snapshot: true, Endpoints: []registry.Endpoint{s(2)}}
	good := registry.ListResponse{Index: 4, Epoch: "e", Endpoints: []registry.Endpoint{s(2)}}
	run := func(answers ...registry.ListResponse) *watcher {
		v := &watcher{entries: map[string]registry.Endpoint{}, changes: map[uint64]registry.Endpoint{}}
		for _, a := range answers {
			v.apply(a)
		}
		return v
	}
	for name, c := range map[string]struct {
		other *watcher
		want  string
	}{
		"nothing":    {run(first, good), ""},
		"gap":        {run(first, registry.ListResponse{Index: 5, Epoch: "e", Endpoints: []registry.Endpoint{s(2)}}), "changes from"},
		"back":       {run(first, registry.ListResponse{Index: 2, Epoch: "e"}), "version 2 after 3"},
		"whole":      {run(first, last), "whole list"},
		"epoch":      {run(first, registry.ListResponse{Index: 4, Epoch: "f", Endpoints: []registry.Endpoint{s(2)}}), "epoch f"},
		"difference": {run(first, registry.ListResponse{Index: 4, Epoch: "e", Endpoints: []registry.Endpoint{s(8)}}), "change 4 is"},
	} {
		got := strings.Join(checkWatchers([]*watcher{run(first, good), c.other}, last), "; ")
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q", name, got)
		}
	}
}
