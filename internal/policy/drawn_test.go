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

// section is a drawn piece of text whose parts may come in any order.
type section struct {
	head     string
	children []*section // none: an attribute
}

func (b *section) text(r *rand.Rand) string {
	if b.children == nil {
		return b.head + "\n"
	}
	kids := slices.Clone(b.children)
	if r != nil && !strings.HasPrefix(b.head, "requests") { // times go by their order, and stay
		r.Shuffle(len(kids), func(i, j int) { kids[i], kids[j] = kids[j], kids[i] })
	}
	var s strings.Builder
	s.WriteString(b.head + " {\n")
	for _, k := range kids {
		s.WriteString(k.text(r))
	}
	return s.String() + "}\n"
}

func option(format string, args ...any) *section { return &section{head: fmt.Sprintf(format, args...)} }

// drawLimit gives a limit's block. Shares are drawn so that floors fit now and then.
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
	for name, most := range map[string]int{"floor": n, "weight": 9, "reserve": 1} {
		if v := rapid.IntRange(0, 3*most).Draw(t, name); v > 0 && v <= most && (name != "floor" || !outermost && kind == "requests") {
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

func drawPart(t *rapid.T, head string, depth int) *section {
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
		axis := rapid.SampledFrom([]string{"book", "class", "site"}).Draw(t, "axis")
		names := map[string][]string{"book": site.Tenants, "class": site.classNames(), "site": site.Sites}[axis]
		for _, n := range rapid.SliceOfNDistinct(rapid.SampledFrom(append(slices.Clone(names), "*")), 0, 3, rapid.ID).Draw(t, "names") {
			b.children = append(b.children, drawPart(t, fmt.Sprintf("%s %q", axis, n), depth+1))
		}
	}
	if len(b.children) == 0 {
		b.children = append(b.children, option("weight = 1"))
	}
	return b
}

// A drawn policy, in whatever order it is written, comes to the same bytes; its floors fit at all times; no request
// touches more than it may. Enough of the drawn ones are right for this to say something.
func TestDrawnPolicies(t *testing.T) {
	right, wrong := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		fleet := drawPart(t, "fleet", 0)
		known := site
		known.Tenants = nil // else most would forget some
		table, err := Compile("a.hcl", []byte(fleet.text(nil)), known)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		for range 3 {
			again, err2 := Compile("b.hcl", []byte(fleet.text(r)), known)
			if (err == nil) != (err2 == nil) || err == nil && !bytes.Equal(table.JSON(), again.JSON()) {
				t.Fatalf("in another order %v, first %v\n%s", err2, err, fleet.text(nil))
			}
		}
		if err != nil {
			wrong++
			return
		}
		right++
		if limits, _ := table.MaxMatched(); limits > ratelimit.MaxMatchedLimits {
			t.Fatalf("%d limits touched", limits)
		}
		fits(t, table)
	})
	if right < wrong/20 || right < 10 {
		t.Errorf("%d right, %d wrong", right, wrong)
	}
}

// fits adds up the floors that a parent's disjoint children have at any quarter of an hour of a month.
func fits(t *rapid.T, table *ratelimit.Table) {
	for at := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC); at.Month() == time.March; at = at.Add(time.Hour / 4 * 13) {
		sums := map[[2]int]float64{}
		for i, l := range table.Limits {
			f := table.RatesAt(i, at)
			if f.Floor > f.Rate*1.000001 {
				t.Fatalf("%s has floor %v and rate %v", l.Name, f.Floor, f.Rate)
			}
			if l.Parent < 0 || l.Unit > ratelimit.UnitConcurrency {
				continue
			}
			key := [2]int{l.Parent, int(l.Attribute)}
			if sums[key] += f.Floor; sums[key] > table.RatesAt(l.Parent, at).Rate*1.000001 {
				t.Fatalf("floors within %s come to %v", table.Limits[l.Parent].Name, sums[key])
			}
		}
	}
}

// BenchmarkCompile is 9,003 limits: 1,000 books with three limits and six classes each.
func BenchmarkCompile(b *testing.B) {
	known := Known{}
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
