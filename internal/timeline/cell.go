package timeline

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// cellTexts returns the texts of a cell's events. Equal events are merged into one text with their count, and
// events of the same verb with different objects ("suspects n3", "suspects n4") into one text ("suspects n3,
// n4").
func cellTexts(events []Event) (out []string) {
	type group struct {
		verb    string
		objects []string       // in the order of their first event
		counts  map[string]int // by object
	}
	var groups []*group
	byVerb := map[string]*group{}
	for _, e := range events {
		text := clean(e.Text)
		verb, object, _ := strings.Cut(text, " ")
		if strings.Contains(object, " ") {
			verb, object = text, "" // a longer text is not split
		}
		g := byVerb[verb]
		if g == nil {
			g = &group{verb: verb, counts: map[string]int{}}
			byVerb[verb], groups = g, append(groups, g)
		}
		if g.counts[object]++; g.counts[object] == 1 {
			g.objects = append(g.objects, object)
		}
	}
	for _, g := range groups {
		var objects []string
		for _, o := range g.objects {
			switch n := g.counts[o]; o {
			case "":
				out = append(out, g.verb+repeatSuffix(n))
			default:
				objects = append(objects, o+repeatSuffix(n))
			}
		}
		if len(objects) > 0 {
			out = append(out, g.verb+" "+strings.Join(objects, ", "))
		}
	}
	return out
}

// repeatSuffix returns the suffix of an event that happened n times, "" for once.
func repeatSuffix(n int) string {
	if n == 1 {
		return ""
	}
	return fmt.Sprintf(" x%d", n)
}

// clean replaces unprintable characters and line breaks by spaces, and joins runs of spaces.
func clean(s string) string {
	s = strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return ' '
		}
		return r
	}, s)
	return strings.Join(strings.Fields(s), " ")
}

// wrap breaks a text into lines of at most width runes. It breaks a word only if the word is longer than a
// line.
func wrap(s string, width int) (lines []string) {
	line := ""
	for _, word := range strings.Fields(clean(s)) {
		if line != "" && utf8.RuneCountInString(line)+1+utf8.RuneCountInString(word) <= width {
			line += " " + word
			continue
		}
		if line != "" {
			lines = append(lines, line)
		}
		r := []rune(word)
		for ; len(r) > width; r = r[width:] {
			lines = append(lines, string(r[:width]))
		}
		line = string(r)
	}
	if line != "" {
		lines = append(lines, line)
	}
	return lines
}

// moreText returns the text for n omitted texts: "+12 more", or "+12" if that is too wide for one line.
func moreText(n, width int) string {
	if more := fmt.Sprintf("+%d more", n); len(more) <= width {
		return more
	}
	return fmt.Sprintf("+%d", n)
}

// cell returns the lines of a cell. Texts that do not fit into maxCellLines are replaced by their count.
func cell(events []Event, width int) (lines []string) {
	texts := cellTexts(events)
	for i, text := range texts {
		next := wrap(text, width)
		if remaining := len(texts) - i; len(lines)+len(next) > maxCellLines && len(lines) > 0 {
			return append(lines, moreText(remaining, width))
		}
		lines = append(lines, next...)
	}
	return lines
}

// write writes one row, which is a label (the time, except in the head) and the cells. The row has as many
// lines as its highest cell.
func (t table) write(out *strings.Builder, label string, cells map[string][]Event) {
	height := 1
	drawn := make([][]string, len(t.columns))
	for i, c := range t.columns {
		drawn[i] = cell(cells[c], t.cellWidths[i])
		height = max(height, len(drawn[i]))
	}
	for k := range height {
		var line strings.Builder
		if k > 0 {
			label = ""
		}
		fmt.Fprintf(&line, "%*s ", t.timeWidth, label)
		for i, w := range t.cellWidths {
			text := ""
			if k < len(drawn[i]) {
				text = drawn[i][k]
			}
			line.WriteString("| " + text + strings.Repeat(" ", max(0, w+1-utf8.RuneCountInString(text))))
		}
		out.WriteString(strings.TrimRight(line.String(), " ") + "\n")
	}
}
