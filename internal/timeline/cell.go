package timeline

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// cellTexts returns the texts of a cell's events. Repeated events are merged into one text with their count,
// and events of one verb with several objects ("suspects n3", "suspects n4") into one text ("suspects n3,
// n4").
func cellTexts(events []Event) (out []string) {
	type kind struct {
		phrase  string
		objects []string
		times   map[string]int
	}
	var kinds []*kind
	byWord := map[string]*kind{}
	for _, e := range events {
		what := clean(e.Text)
		word, object, _ := strings.Cut(what, " ")
		if strings.Contains(object, " ") {
			word, object = what, "" // more than a verb and an object
		}
		k := byWord[word]
		if k == nil {
			k = &kind{phrase: word, times: map[string]int{}}
			byWord[word], kinds = k, append(kinds, k)
		}
		if k.times[object]++; k.times[object] == 1 {
			k.objects = append(k.objects, object)
		}
	}
	for _, k := range kinds {
		var named []string
		for _, o := range k.objects {
			switch n := k.times[o]; o {
			case "":
				out = append(out, k.phrase+repeatSuffix(n))
			default:
				named = append(named, o+repeatSuffix(n))
			}
		}
		if len(named) > 0 {
			out = append(out, k.phrase+" "+strings.Join(named, ", "))
		}
	}
	return out
}

// repeatSuffix returns the mark of an event that happened n times, "" for once.
func repeatSuffix(n int) string {
	if n == 1 {
		return ""
	}
	return fmt.Sprintf(" x%d", n)
}

// clean replaces what cannot be drawn on one line by spaces, and joins runs of spaces.
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

// moreText returns the text for n further events: "+12 more", or "+12" if that is too wide for one line.
func moreText(n, width int) string {
	if more := fmt.Sprintf("+%d more", n); len(more) <= width {
		return more
	}
	return fmt.Sprintf("+%d", n)
}

// cell returns the lines of a cell. Texts beyond maxCellLines are replaced by their count.
func cell(events []Event, width int) (lines []string) {
	all := cellTexts(events)
	for i, text := range all {
		next := wrap(text, width)
		if remaining := len(all) - i; len(lines)+len(next) > maxCellLines && len(lines) > 0 {
			return append(lines, moreText(remaining, width))
		}
		lines = append(lines, next...)
	}
	return lines
}

// write writes one row: its time and its cells. The cell with the most lines sets the number of lines of the
// row.
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
