package quorum

import (
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"wrenspread/internal/registry"
)

func versionPointer(v uint64) *uint64 { return &v }

// sequentialOperations returns operations that take a millisecond each and don't overlap. An operation with an
// unknown result never ends.
func sequentialOperations(ops ...op) []porcupine.Operation {
	for i := range ops {
		ops[i].name, ops[i].client = "s", i
		ops[i].start, ops[i].end = time.Duration(2*i)*time.Millisecond, time.Duration(2*i+1)*time.Millisecond
	}
	return operations(ops)
}

// TestModelAcceptsLegalHistoriesAndRejectsViolations checks that the model accepts each history that the
// registry may produce, and rejects each violation: stale reads, lost or repeated writes, ignored conditions
// and versions that don't rise.
func TestModelAcceptsLegalHistoriesAndRejectsViolations(t *testing.T) {
	register := func(weight float64, version uint64) op {
		return op{kind: "register", weight: weight, resultKnown: true, status: 200, version: version}
	}
	read := func(weight float64, status string) op {
		return op{kind: "read", resultKnown: true, status: 200, entryFound: true, readWeight: weight, readStatus: status}
	}
	readNothing := op{kind: "read", resultKnown: true, status: 200}
	lostWrite := op{kind: "register", weight: 9}
	remove := op{kind: "remove", resultKnown: true, status: 200, version: 7}
	refusedWrite := op{kind: "register", weight: 3, ifVersion: versionPointer(1), resultKnown: true, status: 409, version: 5}
	for name, c := range map[string]struct {
		ops   []op
		legal bool
	}{
		"legal history":                          {[]op{readNothing, register(1, 5), read(1, registry.Ready), register(1, 5), remove, readNothing}, true},
		"stale read":                             {[]op{register(1, 5), register(2, 6), read(1, registry.Ready)}, false},
		"lost write":                             {[]op{register(1, 5), readNothing}, false},
		"write with a lost response took effect": {[]op{register(1, 5), lostWrite, read(9, registry.Ready)}, true},
		"write with a lost response took no effect":          {[]op{register(1, 5), lostWrite, read(1, registry.Ready)}, true},
		"write with a lost response took effect twice":       {[]op{register(1, 5), lostWrite, read(9, registry.Ready), register(1, 7), read(9, registry.Ready)}, false},
		"condition holds, write accepted":                    {[]op{register(1, 5), {kind: "register", weight: 2, ifVersion: versionPointer(5), resultKnown: true, status: 200, version: 6}, read(2, registry.Ready)}, true},
		"condition fails, write refused":                     {[]op{register(1, 5), refusedWrite, read(1, registry.Ready)}, true},
		"condition fails, write accepted":                    {[]op{register(1, 5), {kind: "register", weight: 2, ifVersion: versionPointer(4), resultKnown: true, status: 200, version: 6}}, false},
		"condition holds, write refused":                     {[]op{register(1, 5), {kind: "register", weight: 2, ifVersion: versionPointer(5), resultKnown: true, status: 409, version: 5}}, false},
		"version goes back":                                  {[]op{register(1, 5), register(2, 4)}, false},
		"change without a new version":                       {[]op{register(1, 5), register(2, 5)}, false},
		"drain of an absent entry accepted":                  {[]op{{kind: "drain", resultKnown: true, status: 200, version: 5}}, false},
		"removal of an existing entry answered as not found": {[]op{register(1, 5), {kind: "remove", resultKnown: true, status: 404}}, false},
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
		"no violation":              {run(first, good), ""},
		"gap in the changes":        {run(first, registry.ListResponse{Index: 5, Epoch: "e", Endpoints: []registry.Endpoint{s(2)}}), "changes from"},
		"version goes back":         {run(first, registry.ListResponse{Index: 2, Epoch: "e"}), "version 2 after 3"},
		"unnecessary complete list": {run(first, last), "whole list"},
		"changed epoch":             {run(first, registry.ListResponse{Index: 4, Epoch: "f", Endpoints: []registry.Endpoint{s(2)}}), "epoch f"},
		"different change":          {run(first, registry.ListResponse{Index: 4, Epoch: "e", Endpoints: []registry.Endpoint{s(8)}}), "change 4 is"},
	} {
		got := strings.Join(checkWatchers([]*watcher{run(first, good), c.other}, last), "; ")
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q", name, got)
		}
	}
}
