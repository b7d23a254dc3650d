package membership

import (
	"bytes"
	"cmp"
	"slices"

	"wrenspread/internal/membership/wire"
)

// compare orders two statements on one name: the later generation, then the higher incarnation, then the
// graver health. Two statements equal in these but of different facts come from two processes of one name;
// their bytes decide, so that all nodes agree.
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

// merge returns what holds of two statements on one name: the higher one. Load goes by its own count within a
// life, so that it needs no incarnation. Accusers of the same suspicion add up. It is commutative,
// associative and idempotent, Age aside.
func merge(a, b wire.Statement) wire.Statement {
	high, low := a, b
	order := compare(a, b)
	if order < 0 {
		high, low = b, a
	}
	if order == 0 {
		high.Accusers = accusers(a.Accusers, b.Accusers)
		high.Age = max(a.Age, b.Age)
	}
	if low.Generation == high.Generation &&
		cmp.Or(cmp.Compare(low.LoadSeq, high.LoadSeq), cmp.Compare(low.Metadata.Load, high.Metadata.Load)) > 0 {
		high.LoadSeq, high.Metadata.Load = low.LoadSeq, low.Metadata.Load
	}
	return high
}

// accusers returns the three smallest of both: any three are enough to shorten the suspicion the most.
func accusers(a, b [3]uint64) (out [3]uint64) {
	if a == b {
		return a
	}
	all := slices.DeleteFunc([]uint64{a[0], a[1], a[2], b[0], b[1], b[2]}, func(h uint64) bool { return h == 0 })
	slices.Sort(all)
	copy(out[:], slices.Compact(all))
	return out
}

func countAccusers(by [3]uint64) (n int) {
	for _, h := range by {
		if h != 0 {
			n++
		}
	}
	return n
}
