package membership

import (
	"testing"

	"pgregory.net/rapid"

	_ "wrenspread/internal/rapidseed"

	"wrenspread/internal/membership/wire"
)

// drawStatement draws a statement from few values, so that ties are common. It draws no Age, as merge is
// commutative, associative and idempotent only without Age.
func drawStatement(t *rapid.T) wire.Statement {
	fewValues := rapid.IntRange(0, 2)
	s := wire.Statement{Name: "n1", Number: fewValues.Draw(t, "number"), Generation: uint64(fewValues.Draw(t, "generation")), Incarnation: uint32(fewValues.Draw(t, "incarnation")),
		Health: Health(rapid.IntRange(0, 3).Draw(t, "health"))}
	s.Metadata.Catalogue = uint64(fewValues.Draw(t, "catalogue"))
	s.Metadata.Load, s.LoadSeq = uint16(fewValues.Draw(t, "load")), uint32(fewValues.Draw(t, "load sequence"))
	for range fewValues.Draw(t, "accusers") {
		s.Accusers = mergeAccusers(s.Accusers, [3]uint64{uint64(rapid.IntRange(1, 6).Draw(t, "accuser"))})
	}
	return s
}

func TestMergeIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawStatement(t), drawStatement(t), drawStatement(t)
		if merge(a, b) != merge(b, a) {
			t.Fatalf("not commutative: %+v %+v", a, b)
		}
		if merge(merge(a, b), c) != merge(a, merge(b, c)) {
			t.Fatalf("not associative: %+v %+v %+v", a, b, c)
		}
		if m := merge(a, b); merge(a, a) != a || merge(m, b) != m {
			t.Fatalf("not idempotent: %+v %+v", a, b)
		}
		sameSuspicion := a
		sameSuspicion.Accusers = b.Accusers
		if m := merge(a, sameSuspicion); m != merge(sameSuspicion, a) || m.Accusers != mergeAccusers(a.Accusers, b.Accusers) {
			t.Fatalf("accusers of one suspicion are not united: %x and %x", a.Accusers, b.Accusers)
		}
		m := merge(a, b)
		if m.Generation < max(a.Generation, b.Generation) || (a.Generation == b.Generation && m.Incarnation < max(a.Incarnation, b.Incarnation)) {
			t.Fatalf("generation or incarnation went back: %+v %+v gave %+v", a, b, m)
		}
	})
}

// Statements give the same digest in any order and however often they are repeated.
func TestStatementOrderDoesNotChangeTheDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		statements := rapid.SliceOfN(rapid.Custom(drawStatement), 1, 8).Draw(t, "statements")
		order := rapid.Permutation(append(statements, statements...)).Draw(t, "order")
		digestOf := func(received []wire.Statement) uint64 {
			c := New(Config{Fleet: "f", Name: "me"}, 0)
			for _, statement := range received {
				c.applyStatement(statement, wire.Gossip)
			}
			return c.digest
		}
		if digestOf(statements) != digestOf(order) {
			t.Fatalf("%+v and %+v give different digests", statements, order)
		}
	})
}
