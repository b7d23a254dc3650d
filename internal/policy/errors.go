package policy

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/mitchellh/go-wordwrap"
)

const (
	maxPrinted = 100 // errors that are printed
	lineWidth  = 100 // of a line, in characters
)

// addError notes an error: what is wrong where, and a way out.
func (c *compiler) addError(at hcl.Range, what, wayOut string) {
	c.diags = append(
		c.diags,
		&hcl.Diagnostic{Severity: hcl.DiagError, Summary: what, Detail: wayOut, Subject: at.Ptr()},
	)
}

// sortedErrors has the errors by their places, each once.
func (c *compiler) sortedErrors() hcl.Diagnostics {
	at := func(d *hcl.Diagnostic) int {
		if d.Subject == nil {
			return 0
		}
		return d.Subject.Start.Byte
	}
	slices.SortStableFunc(c.diags, func(a, b *hcl.Diagnostic) int { return at(a) - at(b) })
	return slices.CompactFunc(c.diags, func(a, b *hcl.Diagnostic) bool {
		return at(a) == at(b) && a.Summary == b.Summary && a.Detail == b.Detail
	})
}

// Errors are all that is wrong with a text.
type Errors struct {
	diags hcl.Diagnostics
	file  string
	text  []byte
}

// Count is how many there are.
func (e *Errors) Count() int { return len(e.diags) }

// Error returns the first, and says how many there are.
func (e *Errors) Error() string {
	var b strings.Builder
	e.write(&b, e.diags[0])
	return fmt.Sprintf("%d errors in the policy; first: %s", len(e.diags), b.String())
}

// Print writes each error with its file, line and column, the offending words and a way out.
func (e *Errors) Print(w io.Writer) error {
	var b strings.Builder
	for _, d := range e.diags[:min(len(e.diags), maxPrinted)] {
		e.write(&b, d)
	}
	if more := len(e.diags) - maxPrinted; more > 0 {
		fmt.Fprintf(&b, "and %d more\n", more)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (e *Errors) write(b *strings.Builder, d *hcl.Diagnostic) {
	at := hcl.Range{Start: hcl.InitialPos, End: hcl.InitialPos}
	if d.Subject != nil {
		at = *d.Subject
	}
	fmt.Fprintf(b, "%s:%d:%d: %s\n", e.file, at.Start.Line, at.Start.Column, d.Summary)
	if lines := bytes.SplitN(e.text, []byte("\n"), at.Start.Line+1); at.Start.Line <= len(lines) {
		line := strings.ToValidUTF8(strings.ReplaceAll(string(lines[at.Start.Line-1]), "\t", " "), "?")
		runes := []rune(strings.TrimRight(line, "\r "))
		from := min(at.Start.Column-1, len(runes))
		to := min(at.End.Column-1, len(runes))
		if at.End.Line > at.Start.Line {
			to = len(runes)
		}
		first := 0 // of a line too long to show
		if len(runes) > lineWidth {
			first, runes = max(0, from-lineWidth/4), runes[max(0, from-lineWidth/4):]
			runes = runes[:min(len(runes), lineWidth)]
		}
		from, to = from-first, min(to-first, len(runes))
		fmt.Fprintf(
			b,
			"    %s\n    %s%s\n",
			string(runes),
			strings.Repeat(" ", from),
			strings.Repeat("^", max(1, to-from)),
		)
	}
	detail := wordwrap.WrapString(strings.ToValidUTF8(d.Detail, "?"), lineWidth-2)
	fmt.Fprintf(b, "  %s\n", strings.ReplaceAll(detail, "\n", "\n  "))
}
