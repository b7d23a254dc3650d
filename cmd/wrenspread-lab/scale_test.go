package main

import (
	"os"
	"testing"
	"time"

	"wrenspread/internal/lab/scale"
)

// registryMeasurement returns a measurement that runs this test's own binary as the registry and writes its
// records to a temporary folder.
func registryMeasurement(t *testing.T) scale.RegistryRun {
	return scale.RegistryRun{Run: scale.Run{Dir: t.TempDir(), Label: scale.Before, Commit: "test", Repeat: 1},
		Dir:     t.TempDir(),
		Program: []string{os.Args[0]}, Env: []string{"WRENSPREAD_LAB_AS_PROGRAM=1"},
		RestTime: time.Second, Report: func(p scale.Point) { t.Log(p) }}
}

// recordedMedians returns the median of a figure at each point of the only record.
func recordedMedians(t *testing.T, l scale.RegistryRun, name string) (medians []float64) {
	t.Helper()
	records, err := scale.Load(l.Run.Dir)
	if err != nil || len(records) != 1 {
		t.Fatal(len(records), err)
	}
	for _, p := range records[0].Points {
		medians = append(medians, p.Figures[name].Median)
	}
	return medians
}

// TestChangeBytesPerWatcherDoNotGrowWithListOrWatchers checks that a change costs each watcher a few hundred
// bytes, for 20 and 400 entries and for 5 and 25 watchers.
func TestChangeBytesPerWatcherDoNotGrowWithListOrWatchers(t *testing.T) {
	for _, entries := range []int{20, 400} {
		l := registryMeasurement(t)
		if err := l.Watchers(t.Context(), []int{5, 25}, entries); err != nil {
			t.Fatal(err)
		}
		for _, bytes := range recordedMedians(t, l, "watcher_change_bytes_in") {
			if bytes < 150 || bytes > 1000 { // the header of the answer, one entry, and what the measurement itself reads
				t.Errorf("a change of a list of %d entries is %v bytes to a watcher, want 150 to 1000", entries, bytes)
			}
		}
		replicaBytes := recordedMedians(t, l, "change_bytes")
		if perWatcher := (replicaBytes[1] - replicaBytes[0]) / 20; perWatcher > 1000 {
			t.Errorf("each further watcher costs the replica %v bytes for a change of a list of %d entries, want at most 1000", perWatcher, entries)
		}
	}
}

// TestWatcherOfSubsetReceivesOnlyItsChanges checks that watchers of a subset of the list receive at most 0.6
// of the bytes that watchers of the complete list receive. The list has 3000 entries because the subset of a
// short list is the complete list.
func TestWatcherOfSubsetReceivesOnlyItsChanges(t *testing.T) {
	bytes := map[bool]float64{}
	for _, subsets := range []bool{false, true} {
		l := registryMeasurement(t)
		l.Subsets = subsets
		if err := l.Watchers(t.Context(), []int{10}, 3000); err != nil {
			t.Fatal(err)
		}
		bytes[subsets] = recordedMedians(t, l, "watcher_change_bytes_in")[0]
	}
	if bytes[true] > 0.6*bytes[false] {
		t.Errorf("a change is %v bytes to a watcher of a subset, %v to a watcher of the complete list", bytes[true], bytes[false])
	}
}

// TestHollowNodesFollowRegistryAndEachOther checks that four hollow nodes receive and store changes of the
// list and exchange membership datagrams, as real nodes do.
func TestHollowNodesFollowRegistryAndEachOther(t *testing.T) {
	const backends = 50
	n := scale.Nodes{RegistryRun: registryMeasurement(t), Kind: "hollow",
		StartCommand: []string{os.Args[0], "scale", "hollow"}, View: true, NotifiedNodes: 100}
	if err := n.Measure(t.Context(), []scale.Sizes{{Nodes: 4, Backends: backends}}); err != nil {
		t.Fatal(err)
	}
	for name, bounds := range map[string][2]float64{
		"change_bytes_in":  {100, 1500},                          // a change reaches each node
		"change_bytes_out": {50 * backends, 200*backends + 1500}, // each node stores the complete list after a change
		"datagrams_per_s":  {1, 60},
		"descriptors":      {1, 12},
	} {
		if got := recordedMedians(t, n.RegistryRun, name)[0]; got < bounds[0] || got > bounds[1] {
			t.Errorf("%s is %v, want %v to %v", name, got, bounds[0], bounds[1])
		}
	}
}

// TestFaultBytesAreInProportionToChangesInSubset checks that the bytes that the loss of a zone, the loss of a
// rack and a rolling replacement cost a node and the replica are in proportion to the number of changes. The
// measurement itself fails if a node does not end up with exactly the remaining backends.
func TestFaultBytesAreInProportionToChangesInSubset(t *testing.T) {
	const backends, nodes = 120, 3
	plan := scale.Plan{Demand: scale.Demand{Nodes: 100, Backends: 500},
		Assumed: scale.Assumed{RackNodes: 2, RackBackends: 20, TTL: 1}}
	for name, fault := range map[string]struct {
		play    func(*scale.Nodes) error
		changes float64
	}{
		"zone": {func(n *scale.Nodes) error {
			return n.ZoneLoss(t.Context(), []scale.Sizes{{Nodes: nodes, Backends: backends}})
		}, backends / 7},
		"rack": {func(n *scale.Nodes) error {
			return n.RackLoss(t.Context(), plan, []scale.Sizes{{Nodes: nodes, Backends: backends}})
		}, backends + 20},
		"roll": {func(n *scale.Nodes) error {
			return n.RollingReplacement(t.Context(), plan, []scale.Sizes{{Nodes: nodes, Backends: backends}},
				[]int{36000}, time.Second)
		}, 2 * 10},
	} {
		n := scale.Nodes{RegistryRun: registryMeasurement(t), Kind: "hollow",
			StartCommand: []string{os.Args[0], "scale", "hollow"}, View: true, NotifiedNodes: 100}
		n.Subsets = true
		if err := fault.play(&n); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		for figure, bytesPerChange := range map[string][2]float64{
			"node_bytes_in": {20, 1500}, "replica_peak_bytes": {20, 40000}} { // with the pages of the replica's log
			got := recordedMedians(t, n.RegistryRun, figure)[0]
			if got < bytesPerChange[0]*fault.changes/10 || got > bytesPerChange[1]*fault.changes {
				t.Errorf("%s: %s is %v for %v changes", name, figure, got, fault.changes)
			}
		}
	}
}
