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
	maxPrintedErrors = 100 // further errors are only counted
	lineWidth        = 100 // of a printed line, in characters
)

// addError adds an error: its place in the source, a summary of the fault, and how to correct it.
func (c *compiler) addError(at hcl.Range, summary, detail string) {
	c.diags = append(
		c.diags,
		&hcl.Diagnostic{Severity: hcl.DiagError, Summary: summary, Detail: detail, Subject: at.Ptr()},
	)
}

// sortedErrors returns the errors in the order of their places in the source, without duplicates.
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

// Errors are all faults that Compile has found in a policy's source. There is at least one.
type Errors struct {
	diags hcl.Diagnostics
	file  string
	text  []byte
}

// Count returns the number of errors.
func (e *Errors) Count() int { return len(e.diags) }

// Error returns the number of errors and the text of the first one.
func (e *Errors) Error() string {
	var b strings.Builder
	e.writeDiagnostic(&b, e.diags[0])
	return fmt.Sprintf("%d errors in the policy; first: %s", len(e.diags), b.String())
}

// Print writes each error with its file, line and column, the marked source line and how to correct the
// fault. It writes at most maxPrintedErrors errors and then the number of the others.
func (e *Errors) Print(w io.Writer) error {
	var b strings.Builder
	for _, d := range e.diags[:min(len(e.diags), maxPrintedErrors)] {
		e.writeDiagnostic(&b, d)
	}
	if more := len(e.diags) - maxPrintedErrors; more > 0 {
		fmt.Fprintf(&b, "and %d more\n", more)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeDiagnostic writes one error. If the source line is longer than lineWidth, it shows only the section of
// the line around the error.
func (e *Errors) writeDiagnostic(b *strings.Builder, d *hcl.Diagnostic) {
	at := hcl.Range{Start: hcl.InitialPos, End: hcl.InitialPos}
	if d.Subject != nil {
		at = *d.Subject
	}
	fmt.Fprintf(b, "%s:%d:%d: %s\n", e.file, at.Start.Line, at.Start.Column, d.Summary)
	if lines := bytes.SplitN(e.text, []byte("\n"), at.Start.Line+1); at.Start.Line <= len(lines) {
		line := strings.ToValidUTF8(strings.ReplaceAll(string(lines[at.Start.Line-1]), "\t", " "), "?")
		runes := []rune(strings.TrimRight(line, "\r "))
		markFrom := min(at.Start.Column-1, len(runes))
		markTo := min(at.End.Column-1, len(runes))
		if at.End.Line > at.Start.Line {
			markTo = len(runes)
		}
		shownFrom := 0 // the first character shown of a long line
		if len(runes) > lineWidth {
			shownFrom, runes = max(0, markFrom-lineWidth/4), runes[max(0, markFrom-lineWidth/4):]
			runes = runes[:min(len(runes), lineWidth)]
		}
		markFrom, markTo = markFrom-shownFrom, min(markTo-shownFrom, len(runes))
		fmt.Fprintf(
			b,
			"    %s\n    %s%s\n",
			string(runes),
			strings.Repeat(" ", markFrom),
			strings.Repeat("^", max(1, markTo-markFrom)),
		)
	}
	detail := wordwrap.WrapString(strings.ToValidUTF8(d.Detail, "?"), lineWidth-2)
	fmt.Fprintf(b, "  %s\n", strings.ReplaceAll(detail, "\n", "\n  "))
}
