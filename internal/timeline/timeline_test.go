package timeline

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"pgregory.net/rapid"

	_ "wrenspread/internal/rapidseed"
)

// Whatever happened, it is in the drawing or counted, no line is too wide, and the order of telling does not matter.
func TestDrawing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Drawing{Says: "shows " + rapid.String().Draw(t, "says"), Width: rapid.IntRange(0, 160).Draw(t, "width")}
		for i := range rapid.IntRange(1, 20).Draw(t, "columns") {
			d.Columns = append(d.Columns, fmt.Sprintf("n%d", i))
		}
		var events []Event
		for i := range rapid.IntRange(0, 60).Draw(t, "events") {
			events = append(events, Event{
				At:   time.Duration(rapid.IntRange(0, 400).Draw(t, "at")) * 50 * time.Millisecond,
				Who:  fmt.Sprintf("n%d", rapid.IntRange(0, 22).Draw(t, "who")),
				What: rapid.SampledFrom([]string{fmt.Sprintf("e%d", i), fmt.Sprintf("hits e%d", i), fmt.Sprintf("is then e%d", i)}).Draw(t, "what"),
			})
		}
		drawn := d.Draw(events)
		most := d.defaults().Width
		for _, l := range strings.Split(drawn, "\n") {
			if utf8.RuneCountInString(l) > most {
				t.Fatalf("a line of %d runes, %d at most: %q", utf8.RuneCountInString(l), most, l)
			}
		}
		if seen, counted := occurrences(drawn, events); seen+counted != len(events) {
			t.Fatalf("%d events drawn and %d counted of %d:\n%s", seen, counted, len(events), drawn)
		}
		rand.New(rand.NewPCG(1, uint64(len(events)))).Shuffle(len(events), func(i, k int) { events[i], events[k] = events[k], events[i] })
		if again := d.Draw(events); again != drawn {
			t.Fatalf("in another order\n%s\nis not\n%s", again, drawn)
		}
	})
}

// occurrences counts the events that stand in a drawing, and those that it says it left out.
func occurrences(drawn string, events []Event) (seen, counted int) {
	_, table, _ := strings.Cut(drawn, "\n\n")
	words := map[string]int{}
	for _, w := range strings.FieldsFunc(table, func(r rune) bool { return strings.ContainsRune(" |,()\n", r) }) {
		words[w]++
	}
	for i := range events {
		seen += words[fmt.Sprintf("e%d", i)]
	}
	for _, l := range strings.Split(table, "\n") {
		var n int
		if _, err := fmt.Sscanf(strings.TrimSpace(l), "(%d more", &n); err == nil {
			counted += n
		}
		for _, c := range strings.Split(l, "|") {
			if _, err := fmt.Sscanf(strings.TrimSpace(c), "+%d", &n); err == nil {
				counted += n
			}
		}
	}
	return seen, counted
}

// What a cell leaves out is counted in one piece, also in the narrowest cell and for more events than a cell has lines.
func TestCountedInOnePiece(t *testing.T) {
	for width := minCellWidth; width <= 12; width++ {
		var events []Event
		for i := range 1000 {
			events = append(events, Event{What: fmt.Sprintf("e%d", i)})
		}
		lines := cell(events, width)
		if got, want := lines[len(lines)-1], moreText(1000-maxCellLines, width); got != want || len(lines) != maxCellLines+1 || utf8.RuneCountInString(got) > width {
			t.Errorf("width %d: the last of %d lines is %q, want %q", width, len(lines), got, want)
		}
	}
}

func TestDrawn(t *testing.T) {
	d := Drawing{Says: "n2 is taken for dead and comes back; the gap between is folded, as nothing happens in it.", Columns: []string{"n1", "n2", "list"}, Width: 60}
	got := d.Draw([]Event{
		{0, "n1", "joins"}, {20 * time.Millisecond, "n2", "joins"}, {30 * time.Millisecond, "n2", "hears n1"}, {40 * time.Millisecond, "n2", "hears n3"},
		{1200 * time.Millisecond, "n1", "suspects n2"}, {9 * time.Second, "n2", "refutes what n1 says of it, with a higher incarnation"},
		{9 * time.Second, "list", "refuses"}, {9 * time.Second, "list", "refuses"}, {9 * time.Second, "elsewhere", "unseen"},
	})
	want := `n2 is taken for dead and comes back; the gap between is
folded, as nothing happens in it.

 time | n1          | n2                       | list
------+-------------+--------------------------+------------
0.0 s | joins       | joins                    |
      |             | hears n1, n3             |
      ~ 1.2 s of nothing
1.2 s | suspects n2 |                          |
      ~ 7.8 s of nothing
9.0 s |             | refutes what n1 says of  | refuses x2
      |             | it, with a higher        |
      |             | incarnation              |
(1 more events: elsewhere)
`
	if got != want {
		t.Fatalf("drawn\n%s\nwant\n%s", got, want)
	}
}
