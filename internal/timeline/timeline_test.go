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

// TestDrawingShowsOrCountsEveryEvent: every event is drawn or counted, no line is wider than the drawing, and
// the order of the events does not matter.
func TestDrawingShowsOrCountsEveryEvent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Drawing{Caption: "shows " + rapid.String().Draw(t, "says"), Width: rapid.IntRange(0, 160).Draw(t, "width")}
		for i := range rapid.IntRange(1, 20).Draw(t, "columns") {
			d.Columns = append(d.Columns, fmt.Sprintf("n%d", i))
		}
		var events []Event
		for i := range rapid.IntRange(0, 60).Draw(t, "events") {
			events = append(events, Event{
				At:     time.Duration(rapid.IntRange(0, 400).Draw(t, "at")) * 50 * time.Millisecond,
				Column: fmt.Sprintf("n%d", rapid.IntRange(0, 22).Draw(t, "who")),
				Text:   rapid.SampledFrom([]string{fmt.Sprintf("e%d", i), fmt.Sprintf("hits e%d", i), fmt.Sprintf("is then e%d", i)}).Draw(t, "what"),
			})
		}
		drawn := d.Draw(events)
		maxRunes := d.defaults().Width
		for _, l := range strings.Split(drawn, "\n") {
			if utf8.RuneCountInString(l) > maxRunes {
				t.Fatalf("a line has %d runes, want at most %d: %q", utf8.RuneCountInString(l), maxRunes, l)
			}
		}
		if seen, counted := occurrences(drawn, events); seen+counted != len(events) {
			t.Fatalf("%d events are drawn and %d counted, want %d in total:\n%s", seen, counted, len(events), drawn)
		}
		rand.New(rand.NewPCG(1, uint64(len(events)))).Shuffle(len(events), func(i, k int) { events[i], events[k] = events[k], events[i] })
		if again := d.Draw(events); again != drawn {
			t.Fatalf("events in another order give\n%s\nwant\n%s", again, drawn)
		}
	})
}

// occurrences returns how many events a drawing shows, and how many it reports as left out.
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

// TestOmittedTextsAreCountedOnOneLine: the count of the events that a cell leaves out stays on one line, even
// in the narrowest cell and for many more events than a cell has lines.
func TestOmittedTextsAreCountedOnOneLine(t *testing.T) {
	for width := minCellWidth; width <= 12; width++ {
		var events []Event
		for i := range 1000 {
			events = append(events, Event{Text: fmt.Sprintf("e%d", i)})
		}
		lines := cell(events, width)
		if got, want := lines[len(lines)-1], moreText(1000-maxCellLines, width); got != want || len(lines) != maxCellLines+1 || utf8.RuneCountInString(got) > width {
			t.Errorf("width %d: the last of %d lines is %q, want %q", width, len(lines), got, want)
		}
	}
}

// TestExampleIsDrawnAsExpected: a small example has all parts of a drawing: caption, wrapped and merged
// texts, marked gaps, hidden events.
func TestExampleIsDrawnAsExpected(t *testing.T) {
	d := Drawing{Caption: "n2 is taken for dead and comes back; the gap between is folded, as nothing happens in it.", Columns: []string{"n1", "n2", "list"}, Width: 60}
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
