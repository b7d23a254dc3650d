package balancer

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

// tokens is a hand of plain numbers.
type tokens struct {
	left, full []float64
	refused    float64
}

func handOf(t *Table) *tokens {
	return &tokens{left: make([]float64, t.Hands()), full: make([]float64, t.Hands())}
}

func (h *tokens) Left(i int) float64       { return h.left[i] }
func (h *tokens) Full(i int) float64       { return h.full[i] }
func (h *tokens) Take(i int, n float64)    { h.left[i] -= n }
func (h *tokens) Give(i int, n float64)    { h.left[i] += n }
func (h *tokens) Refused(_ int, n float64) { h.refused += n }

// add puts a part with limits of some units into a table that is being put together.
func (t *Table) add(within int, axis Axis, word string, units ...Unit) int {
	self := len(t.Parts)
	t.Parts = append(t.Parts, Part{Within: within, Axis: axis, Word: word, First: len(t.Limits), Count: len(units)})
	for _, u := range units {
		l := Limit{Part: self, Unit: u, Rate: 10, Weight: 1, Borrow: true, Safe: 0.25, Status: 429, Wait: time.Second}
		if u == UnitKey {
			l.Slots = 3
		}
		t.Limits = append(t.Limits, l)
		l.Parent, _ = t.around(self, u)
		l.Name, l.Axis = t.Place(self, u)
		t.Limits[len(t.Limits)-1] = l
	}
	return self
}

func newTable() *Table { return &Table{Format: TableFormat} }

var words = []string{"a", "b", "c"}

// drawTable gives a table of which no request touches more than it may.
func drawTable(t *rapid.T) *Table {
	unit := rapid.IntRange(int(UnitRequests), int(UnitKey))
	units := func(most int) (list []Unit) {
		for _, u := range rapid.SliceOfNDistinct(unit, 0, most, rapid.ID).Draw(t, "units") {
			list = append(list, Unit(u))
		}
		slices.Sort(list)
		return list
	}
	table := newTable()
	table.add(-1, OfFleet, "", units(2)...)
	axis := rapid.IntRange(int(OfSite), int(OfPod))
	word := rapid.SampledFrom([]string{"a", "b", Others})
	for range rapid.IntRange(0, 12).Draw(t, "parts") {
		within := rapid.IntRange(0, len(table.Parts)-1).Draw(t, "within")
		a, w := Axis(axis.Draw(t, "axis")), word.Draw(t, "word")
		if slices.ContainsFunc(table.Parts, func(p Part) bool { return p.Within == within && p.Axis == a && p.Word == w }) {
			continue
		}
		before := *table
		p := table.add(within, a, w, units(2)...)
		table.Parts[p].Priority = rapid.IntRange(-1, 1).Draw(t, "priority")
		if limits, parts := table.Touched(); limits > MostTouched || parts > MostParts {
			*table = before
		}
	}
	for i := range table.Limits {
		table.Limits[i].Reserve = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "reserve")
	}
	table.Levels = []Level{{Above: 0.1, Refuse: []string{"b"}, Status: 503}, {Above: 0.2, Refuse: []string{"c"}, Status: 503}}
	if err := table.Ready(); err != nil {
		t.Fatal(err)
	}
	return table
}

func drawAsk(t *rapid.T) Ask {
	word := rapid.SampledFrom(words)
	return Ask{Site: word.Draw(t, "site"), Book: word.Draw(t, "book"), Class: word.Draw(t, "class"), Pod: word.Draw(t, "pod"),
		Key: rapid.SampledFrom([]string{"", "k", "l", "m", "n", "o"}).Draw(t, "key"), Repeat: rapid.Bool().Draw(t, "repeat"),
		Cost:     time.Duration(rapid.IntRange(0, 3).Draw(t, "cost")) * time.Millisecond,
		Priority: rapid.Bool().Draw(t, "priority"), Level: rapid.IntRange(-1, 3).Draw(t, "level")}
}

// plainly says what a request takes of each index of the hand, and whether it has priority, by asking every part.
func plainly(t *Table, a Ask) (takes map[int]float64, priority bool) {
	takes, priority = map[int]float64{}, a.Priority
	deepest := ""
	var matches func(i int) bool
	matches = func(i int) bool {
		p := t.Parts[i]
		if p.Within < 0 {
			return true
		}
		own := map[Axis]string{OfSite: a.Site, OfBook: a.Book, OfClass: a.Class, OfPod: a.Pod}[p.Axis]
		named := slices.ContainsFunc(t.Parts, func(q Part) bool { return q.Within == p.Within && q.Axis == p.Axis && q.Word == own })
		return matches(p.Within) && (p.Word == own || p.Word == Others && !named)
	}
	slots := len(t.Limits)
	for i, l := range t.Limits {
		first := slots
		slots += l.Slots
		if !matches(l.Part) {
			continue
		}
		switch l.Unit {
		case UnitWork:
			takes[i] = float64(a.Cost) / 1e6
		case UnitRepeats:
			if a.Repeat {
				takes[i] = 1
			}
		case UnitKey:
			if a.Key != "" {
				at := t.slot(i, a.Key)
				if at < first || at >= slots || t.LimitOf(at) != i {
					panic("a slot outside its limit's")
				}
				takes[at] = 1
			}
		default:
			takes[i] = 1
		}
	}
	for i, p := range t.Parts {
		if path := t.axesOf(i); matches(i) && p.Priority != 0 &&
			(len(path) > len(deepest) || len(path) == len(deepest) && path >= deepest) {
			deepest, priority = path, p.Priority > 0
		}
	}
	return takes, priority
}

// axesOf gives the axes on the way to a part, outermost first, a letter each.
func (t *Table) axesOf(i int) string {
	if t.Parts[i].Within < 0 {
		return ""
	}
	return t.axesOf(t.Parts[i].Within) + string(rune('0'+t.Parts[i].Axis))
}
