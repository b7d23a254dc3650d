package membership

import (
	"bytes"
	"cmp"
	"slices"

	"wrenspread/internal/membership/wire"
)

// compare orders two statements on one name by generation, then incarnation, then health. Two statements that
// are equal in these but differ otherwise come from two processes of one name. They are ordered by their
// encodings, so that all nodes agree.
func compare(a, b wire.Statement) int {
	return cmp.Or(
		cmp.Compare(a.Generation, b.Generation),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Health, b.Health),
		compareFacts(a, b),
	)
}

func compareFacts(a, b wire.Statement) int {
	if a.WithoutVolatile() == b.WithoutVolatile() {
		return 0
	}
	return bytes.Compare(a.Bytes(), b.Bytes())
}

// merge merges two statements on one name: the result is the higher one by compare. Load has a sequence
// number of its own within a generation, so that a new load needs no new incarnation. The accusers of one
// suspicion are united. Apart from Age, merge is commutative, associative and idempotent.
func merge(a, b wire.Statement) wire.Statement {
	high, low := a, b
	order := compare(a, b)
	if order < 0 {
		high, low = b, a
	}
	if order == 0 {
		high.Accusers = mergeAccusers(a.Accusers, b.Accusers)
		high.Age = max(a.Age, b.Age)
	}
	if low.Generation == high.Generation &&
		cmp.Or(cmp.Compare(low.LoadSeq, high.LoadSeq), cmp.Compare(low.Metadata.Load, high.Metadata.Load)) > 0 {
		high.LoadSeq, high.Metadata.Load = low.LoadSeq, low.Metadata.Load
	}
	return high
}

// mergeAccusers returns the three smallest of the accusers. More are not needed, since any three accusers
// shorten the suspicion timeout to its minimum.
func mergeAccusers(a, b [3]uint64) (merged [3]uint64) {
	if a == b {
		return a
	}
	all := slices.DeleteFunc([]uint64{a[0], a[1], a[2], b[0], b[1], b[2]}, func(h uint64) bool { return h == 0 })
	slices.Sort(all)
	copy(merged[:], slices.Compact(all))
	return merged
}

func countAccusers(accusers [3]uint64) (n int) {
	for _, h := range accusers {
		if h != 0 {
			n++
		}
	}
	return n
}
