package registry

import (
	"slices"
	"strings"
)

// sortedKeys are the records' keys in order, in runs of at most maxRun: a key that comes or goes moves those
// of its run alone, and what begins with a prefix is found without a look at the rest.
type sortedKeys struct{ runs [][]string }

const maxRun = 512

// find returns the run and the place in it where a key is, or would be put.
func (k *sortedKeys) find(key string) (run, at int, there bool) {
	run, there = slices.BinarySearchFunc(
		k.runs,
		key,
		func(r []string, key string) int { return strings.Compare(r[0], key) },
	)
	if there {
		return run, 0, true
	}
	if run = max(run-1, 0); run < len(k.runs) {
		at, there = slices.BinarySearch(k.runs[run], key)
	}
	return run, at, there
}

// add puts a key in that is not there. Only one that comes last begins a run of its own, so that keys read in
// order fill theirs.
func (k *sortedKeys) add(key string) {
	run, at, _ := k.find(key)
	if run == len(k.runs) || run == len(k.runs)-1 && at == maxRun {
		k.runs = append(k.runs, []string{key})
		return
	}
	if r := k.runs[run]; len(r) == maxRun {
		k.runs[run] = r[: maxRun/2 : maxRun/2]
		k.runs = slices.Insert(k.runs, run+1, slices.Clone(r[maxRun/2:]))
		if at > maxRun/2 {
			run, at = run+1, at-maxRun/2
		}
	}
	k.runs[run] = slices.Insert(k.runs[run], at, key)
}

// remove takes a key out that is there.
func (k *sortedKeys) remove(key string) {
	run, at, _ := k.find(key)
	if k.runs[run] = slices.Delete(k.runs[run], at, at+1); len(k.runs[run]) == 0 {
		k.runs = slices.Delete(k.runs, run, run+1)
	}
}

// withPrefix calls each with the keys that begin with a prefix, in order.
func (k *sortedKeys) withPrefix(prefix string, each func(key string)) {
	run, at, _ := k.find(prefix)
	for ; run < len(k.runs); run, at = run+1, 0 {
		for _, key := range k.runs[run][at:] {
			if !strings.HasPrefix(key, prefix) {
				return
			}
			each(key)
		}
	}
}
