package registry

import (
	"slices"
	"strings"
)

// sortedKeys holds the records' keys in order, in runs of at most maxRunKeys keys. Adding or removing a key
// moves only the keys of its run, and the keys with a prefix are found without visiting other keys.
type sortedKeys struct{ runs [][]string }

// maxRunKeys is the number of keys at which a run is full.
const maxRunKeys = 512

// find returns the run and the index within the run at which a key is, or at which it would be inserted.
func (k *sortedKeys) find(key string) (run, index int, exists bool) {
	run, exists = slices.BinarySearchFunc(
		k.runs,
		key,
		func(r []string, key string) int { return strings.Compare(r[0], key) },
	)
	if exists {
		return run, 0, true
	}
	if run = max(run-1, 0); run < len(k.runs) {
		index, exists = slices.BinarySearch(k.runs[run], key)
	}
	return run, index, exists
}

// add inserts a key that is not present. A key after all other keys begins a new run if the last run is full,
// so that keys that are added in order fill their runs. Any other full run is split in half.
func (k *sortedKeys) add(key string) {
	run, index, _ := k.find(key)
	if run == len(k.runs) || run == len(k.runs)-1 && index == maxRunKeys {
		k.runs = append(k.runs, []string{key})
		return
	}
	if r := k.runs[run]; len(r) == maxRunKeys {
		k.runs[run] = r[: maxRunKeys/2 : maxRunKeys/2]
		k.runs = slices.Insert(k.runs, run+1, slices.Clone(r[maxRunKeys/2:]))
		if index > maxRunKeys/2 {
			run, index = run+1, index-maxRunKeys/2
		}
	}
	k.runs[run] = slices.Insert(k.runs[run], index, key)
}

// remove removes a key that is present.
func (k *sortedKeys) remove(key string) {
	run, index, _ := k.find(key)
	if k.runs[run] = slices.Delete(k.runs[run], index, index+1); len(k.runs[run]) == 0 {
		k.runs = slices.Delete(k.runs, run, run+1)
	}
}

// withPrefix calls visit with the keys that begin with a prefix, in order.
func (k *sortedKeys) withPrefix(prefix string, visit func(key string)) {
	run, index, _ := k.find(prefix)
	for ; run < len(k.runs); run, index = run+1, 0 {
		for _, key := range k.runs[run][index:] {
			if !strings.HasPrefix(key, prefix) {
				return
			}
			visit(key)
		}
	}
}
