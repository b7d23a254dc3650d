// Package policy compiles the operators' language of rate limits. Text in HCL's syntax is read, validated as
// a whole, and compiled to the flat table with which proxies admit requests (ratelimit.Table). It is pure:
// the same text and known names give the same bytes. Proxies evaluate tables and never link this package.
//
// In the language and its messages a scope is a "part" and a tenant a "book".
package policy

import (
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"wrenspread/balancer"
	"wrenspread/ratelimit"
)

// Known are the names that a policy may speak of. A list that is empty is not checked against.
type Known struct {
	Sites, Tenants, Cells []string
	Classes               []Class
}

// Class is a kind of request.
type Class struct {
	Name           string
	PriorityWeight float64
	Work           time.Duration // of its heaviest request; 0: not known
}

// KnownOf takes the names from a proxy's settings. A class's work is not known there.
func KnownOf(s balancer.Settings) Known {
	k := Known{Sites: s.Zones}
	for _, t := range s.Tenants {
		k.Tenants = append(k.Tenants, t.Name)
	}
	for _, c := range s.Classes {
		k.Classes = append(k.Classes, Class{Name: c.Name, PriorityWeight: c.PriorityWeight})
	}
	return k
}

// sorted has each name once and in order, so that no list's order shows in the table.
func (k Known) sorted() Known {
	names := func(from []string) []string { return slices.Compact(slices.Sorted(slices.Values(from))) }
	classes := slices.Clone(k.Classes)
	slices.SortStableFunc(classes, func(a, b Class) int { return strings.Compare(a.Name, b.Name) })
	classes = slices.CompactFunc(classes, func(a, b Class) bool { return a.Name == b.Name })
	return Known{names(k.Sites), names(k.Tenants), names(k.Cells), classes}
}

func (k Known) classNames() []string {
	var names []string
	for _, c := range k.Classes {
		names = append(names, c.Name)
	}
	return names
}

// Compile compiles a file's text to a table, or returns all faults, as *Errors.
func Compile(file string, text []byte, known Known) (*ratelimit.Table, error) {
	c := &compiler{known: known.sorted(), source: text}
	if err := c.checkBounds(); err != nil {
		return nil, err
	}
	table := c.compile(file)
	if c.diags.HasErrors() {
		return nil, &Errors{diags: c.sortedErrors(), file: file, text: text}
	}
	return table, nil
}

type compiler struct {
	known           Known
	source          []byte
	diags           hcl.Diagnostics
	ctx             *hcl.EvalContext
	scopes          int      // made so far
	defaultSettings settings // for all limits
	zone            int
	levels          []*degradeLevel
}

func (c *compiler) compile(file string) *ratelimit.Table {
	f, diags := hclsyntax.ParseConfig(c.source, file, hcl.InitialPos)
	if diags.HasErrors() {
		c.diags = diags
		return nil
	}
	body := f.Body.(*hclsyntax.Body)
	if !c.checkCost(body) {
		return nil
	}
	fleet := c.file(body)
	if fleet == nil {
		return nil
	}
	c.checkNames(fleet)
	c.checkShape(fleet)
	c.resolve(fleet)
	c.sortLevels(fleet)
	if c.diags.HasErrors() { // sums of figures that aren't there would only add to the noise
		return nil
	}
	t := c.buildTable(fleet)
	c.checkFloors(t, fleet)
	c.checkSize(t, fleet)
	if c.diags.HasErrors() {
		return nil
	}
	if err := t.Finalize(); err != nil {
		c.addError(fleet.source, "No table", err.Error())
	}
	return t
}
