// Package policy is the operators' language of rate limits: text in HCL's syntax is read, checked as a whole, and
// compiled to the flat table that nodes judge requests by (decide.Table). It is pure: same text, same known names, same
// bytes. Nodes take tables and never link this package.
package policy

import (
	"errors"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"indigotack/decide"
)

// Known are the names that a policy may speak of. A list that is empty is not checked against.
type Known struct {
	Sites, Books, Pods []string
	Classes            []Class
}

// Class is a kind of request.
type Class struct {
	Name  string
	Worth float64
	Work  time.Duration // of its heaviest request; 0: not known
}

// KnownOf takes the names from a node's settings. A class's work is not told there.
func KnownOf(s decide.Settings) Known {
	k := Known{Sites: s.Zones}
	for _, t := range s.Tenants {
		k.Books = append(k.Books, t.Name)
	}
	for _, c := range s.Classes {
		k.Classes = append(k.Classes, Class{Name: c.Name, Worth: c.Worth})
	}
	return k
}

// sorted has each name once and in order, so that no list's order shows in the table.
func (k Known) sorted() Known {
	names := func(from []string) []string { return slices.Compact(slices.Sorted(slices.Values(from))) }
	classes := slices.Clone(k.Classes)
	slices.SortStableFunc(classes, func(a, b Class) int { return strings.Compare(a.Name, b.Name) })
	classes = slices.CompactFunc(classes, func(a, b Class) bool { return a.Name == b.Name })
	return Known{names(k.Sites), names(k.Books), names(k.Pods), classes}
}

func (k Known) classNames() []string {
	var names []string
	for _, c := range k.Classes {
		names = append(names, c.Name)
	}
	return names
}

// Compile makes a file's text into a table, or says all that is wrong with it, as *Errors.
func Compile(file string, text []byte, known Known) (*decide.Table, error) {
	c := &compiler{known: known.sorted(), source: text}
	if err := c.bounded(); err != nil {
		return nil, err
	}
	table := c.compile(file)
	if c.diags.HasErrors() {
		return nil, &Errors{diags: c.inOrder(), file: file, text: text}
	}
	return table, nil
}

type compiler struct {
	known  Known
	source []byte
	diags  hcl.Diagnostics
	ctx    *hcl.EvalContext
	parts  int      // made so far
	usual  figuring // for all limits
	zone   int
	levels []*level
}

func (c *compiler) compile(file string) *decide.Table {
	f, diags := hclsyntax.ParseConfig(c.source, file, hcl.InitialPos)
	if diags.HasErrors() {
		c.diags = diags
		return nil
	}
	body := f.Body.(*hclsyntax.Body)
	if !c.affordable(body) {
		return nil
	}
	fleet := c.file(body)
	if fleet == nil {
		return nil
	}
	c.checkNames(fleet)
	c.checkShape(fleet)
	c.resolve(fleet)
	c.order(fleet)
	if c.diags.HasErrors() { // sums of figures that aren't there would only add to the noise
		return nil
	}
	t := c.flatten(fleet)
	c.checkFloors(t, fleet)
	c.checkSize(t, fleet)
	if c.diags.HasErrors() {
		return nil
	}
	if err := t.Ready(); err != nil {
		c.fail(fleet.at, "No table", err.Error())
	}
	return t
}

// fail notes an error: what is wrong where, and a way out.
func (c *compiler) fail(at hcl.Range, what, wayOut string) {
	c.diags = append(c.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: what, Detail: wayOut, Subject: at.Ptr()})
}

// inOrder has the errors by their places, each once.
func (c *compiler) inOrder() hcl.Diagnostics {
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

// Error counts the errors and gives the first.
func (e *Errors) Error() string { return e.diags.Error() }

// Count is how many there are.
func (e *Errors) Count() int { return len(e.diags) }

// Print writes each error with its file, line, the offending words and a way out.
func (e *Errors) Print(w io.Writer) error {
	f, _ := hclsyntax.ParseConfig(e.text, e.file, hcl.InitialPos)
	if f == nil {
		return errors.New("no text")
	}
	return hcl.NewDiagnosticTextWriter(w, map[string]*hcl.File{e.file: f}, 100, false).WriteDiagnostics(e.diags)
}
