package policy

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "wrenspread/internal/rapidseed"

	"wrenspread/ratelimit"
)

// section is a random block of a policy, whose contents may be written in any order, or an attribute.
type section struct {
	head     string
	children []*section // the contents of a block; nil for an attribute
}

// text returns the section's source. If r is not nil, the order of the contents of blocks is random.
func (b *section) text(r *rand.Rand) string {
	if b.children == nil {
		return b.head + "\n"
	}
	children := slices.Clone(b.children)
	if r != nil && !strings.HasPrefix(b.head, "requests") { // the order of `at` blocks has a meaning and stays
		r.Shuffle(len(children), func(i, j int) { children[i], children[j] = children[j], children[i] })
	}
	var s strings.Builder
	s.WriteString(b.head + " {\n")
	for _, k := range children {
		s.WriteString(k.text(r))
	}
	return s.String() + "}\n"
}

func option(format string, args ...any) *section { return &section{head: fmt.Sprintf(format, args...)} }

// drawLimit returns the block of a limit. Floors are drawn so that they sometimes fit into the outer limit.
func drawLimit(t *rapid.T, kind string, outermost bool) *section {
	b := &section{head: kind, children: []*section{}}
	rate, n := "rate", rapid.IntRange(1, 50).Draw(t, "rate")
	if kind == "open" {
		rate = "most"
	}
	if outermost {
		n += 100
	}
	if kind == "requests" || kind == "work" || kind == "open" || outermost {
		b.children = append(b.children, option("%s = %d", rate, n))
	} else {
		b.children = append(b.children, option("part = percent(%d)", n))
	}
	for name, maximum := range map[string]int{"floor": n, "weight": 9, "reserve": 1} {
		if v := rapid.IntRange(0, 3*maximum).Draw(t, name); v > 0 && v <= maximum && (name != "floor" || !outermost && kind == "requests") {
			b.children = append(b.children, option("%s = %v", name, map[bool]any{true: 0.5, false: v}[name == "reserve"]))
		}
	}
	if kind == "requests" && !outermost && rapid.IntRange(0, 5).Draw(t, "times") == 0 {
		b.children = append(b.children, &section{head: "at", children: []*section{option("from = \"%02d:00\"", rapid.IntRange(0, 11).Draw(t, "from")),
			option("to = \"%02d:00\"", rapid.IntRange(12, 23).Draw(t, "to")), option("burst = 99")}})
	}
	slices.SortStableFunc(b.children, func(a, c *section) int { return strings.Compare(a.head, c.head) })
	return b
}

// drawScope returns the block of a scope with limits and, up to depth 2, inner scopes.
func drawScope(t *rapid.T, head string, depth int) *section {
	b := &section{head: head, children: []*section{}}
	if depth > 0 && rapid.Bool().Draw(t, "share") {
		b.children = append(b.children, option("share = percent(%d)", rapid.IntRange(0, 45).Draw(t, "percent")))
	}
	if p := rapid.SampledFrom([]string{"", "", "always", "never"}).Draw(t, "priority"); p != "" {
		b.children = append(b.children, option("priority = %q", p))
	}
	for _, kind := range []string{"requests", "work", "open", "repeats", "key"} {
		if depth == 0 && kind != "key" || depth > 0 && rapid.IntRange(0, 3).Draw(t, kind) == 0 {
			b.children = append(b.children, drawLimit(t, kind, depth == 0))
		}
	}
	if depth < 2 {
		attribute := rapid.SampledFrom([]string{"book", "class", "site"}).Draw(t, "axis")
		names := map[string][]string{"book": testNames.Tenants, "class": testNames.classNames(), "site": testNames.Sites}[attribute]
		for _, n := range rapid.SliceOfNDistinct(rapid.SampledFrom(append(slices.Clone(names), "*")), 0, 3, rapid.ID).Draw(t, "names") {
			b.children = append(b.children, drawScope(t, fmt.Sprintf("%s %q", attribute, n), depth+1))
		}
	}
	if len(b.children) == 0 {
		b.children = append(b.children, option("weight = 1"))
	}
	return b
}

// A random policy compiles to the same bytes in any order of its blocks. Its floors fit at all times, and no
// request matches more limits than allowed. The test would show little if few of the random policies were
// valid, so it also requires a minimum of valid ones.
func TestRandomPoliciesCompileToSameValidTableInAnyOrder(t *testing.T) {
	valid, invalid := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		fleet := drawScope(t, "fleet", 0)
		known := testNames
		known.Tenants = nil // with known tenants, most drawn policies would lack a rule for some of them
		table, err := Compile("a.hcl", []byte(fleet.text(nil)), known)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		for range 3 {
			reordered, err2 := Compile("b.hcl", []byte(fleet.text(r)), known)
			if (err == nil) != (err2 == nil) || err == nil && !bytes.Equal(table.JSON(), reordered.JSON()) {
				t.Fatalf("compiling in another order: error %v or another table, first error %v\n%s", err2, err, fleet.text(nil))
			}
		}
		if err != nil {
			invalid++
			return
		}
		valid++
		if limits, _ := table.MaxMatched(); limits > ratelimit.MaxMatchedLimits {
			t.Fatalf("a request matches up to %d limits, want at most ratelimit.MaxMatchedLimits", limits)
		}
		checkFloorsFit(t, table)
	})
	if valid < invalid/20 || valid < 10 {
		t.Errorf("%d valid and %d invalid policies were drawn, want more valid ones", valid, invalid)
	}
}

// checkFloorsFit checks at times throughout a month, 13 quarters of an hour apart, that no floor exceeds its
// rate, and that the floors of sibling limits do not add up to more than the rate of their outer limit.
func checkFloorsFit(t *rapid.T, table *ratelimit.Table) {
	for at := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC); at.Month() == time.March; at = at.Add(time.Hour / 4 * 13) {
		sums := map[[2]int]float64{}
		for i, l := range table.Limits {
			rates := table.RatesAt(i, at)
			if rates.Floor > rates.Rate*1.000001 {
				t.Fatalf("limit %s has floor %v above its rate %v", l.Name, rates.Floor, rates.Rate)
			}
			if l.Parent < 0 || l.Unit > ratelimit.UnitConcurrency {
				continue
			}
			key := [2]int{l.Parent, int(l.Attribute)}
			if sums[key] += rates.Floor; sums[key] > table.RatesAt(l.Parent, at).Rate*1.000001 {
				t.Fatalf("floors within limit %s add up to %v, above its rate", table.Limits[l.Parent].Name, sums[key])
			}
		}
	}
}

// BenchmarkCompile compiles a policy with 9,003 limits: 1,000 tenants with three limits and six classes each.
func BenchmarkCompile(b *testing.B) {
	known := KnownNames{}
	for i := range 1000 {
		known.Tenants = append(known.Tenants, fmt.Sprintf("book-%04d", i))
	}
	text := []byte(`
fleet {
  requests { rate = 1e6 }
  work { rate = 1e6 }
  open { most = 1e6 }
  dynamic "book" {
    for_each = books
    labels   = [book.value]
    content {
      share = 1 / length(books)
      dynamic "class" {
        for_each = ["a", "b", "c", "d", "e", "f"]
        labels   = [class.value]
        content {
          requests {
            share = percent(10)
          }
        }
      }
    }
  }
}`)
	for b.Loop() {
		table, err := Compile("x.hcl", text, known)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(table.Limits)), "limits")
	}
}
