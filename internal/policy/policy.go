// Package policy compiles the operators' language for rate limits. It parses a source in HCL syntax,
// validates the complete source, and compiles it to the flat table with which proxies admit requests
// (ratelimit.Table). Compiling is a pure function: the same source and known names give the same bytes.
// Proxies evaluate tables and never link this package.
//
// In the language and its messages a scope is called a "part", a tenant a "book", a cell a "pod", and the
// retries are called "repeats".
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

// KnownNames holds the names that a policy may refer to. Names of a kind whose list is empty are not checked.
type KnownNames struct {
	Sites, Tenants, Cells []string
	Classes               []Class
}

// Class is a class of requests.
type Class struct {
	Name           string
	PriorityWeight float64
	Work           time.Duration // of the class's heaviest request; 0 means unknown
}

// KnownNamesOf returns the names in a proxy's settings. The settings do not contain the work of a class.
func KnownNamesOf(s balancer.Settings) KnownNames {
	k := KnownNames{Sites: s.Zones}
	for _, t := range s.Tenants {
		k.Tenants = append(k.Tenants, t.Name)
	}
	for _, c := range s.Classes {
		k.Classes = append(k.Classes, Class{Name: c.Name, PriorityWeight: c.PriorityWeight})
	}
	return k
}

// sorted returns the names sorted and without duplicates, so that the table does not depend on the order of
// the lists.
func (k KnownNames) sorted() KnownNames {
	names := func(from []string) []string { return slices.Compact(slices.Sorted(slices.Values(from))) }
	classes := slices.Clone(k.Classes)
	slices.SortStableFunc(classes, func(a, b Class) int { return strings.Compare(a.Name, b.Name) })
	classes = slices.CompactFunc(classes, func(a, b Class) bool { return a.Name == b.Name })
	return KnownNames{names(k.Sites), names(k.Tenants), names(k.Cells), classes}
}

func (k KnownNames) classNames() []string {
	var names []string
	for _, c := range k.Classes {
		names = append(names, c.Name)
	}
	return names
}

// Compile compiles the source of a policy to a table. For a faulty source it returns all faults as *Errors,
// and for a source that exceeds the bounds on length or nesting another error. The file name appears in
// messages only.
func Compile(file string, text []byte, known KnownNames) (*ratelimit.Table, error) {
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

// compiler holds the state of one compilation.
type compiler struct {
	known           KnownNames
	source          []byte
	diags           hcl.Diagnostics
	evalCtx         *hcl.EvalContext
	scopeCount      int           // number of scopes read so far
	defaultSettings limitSettings // defaults for the settings of all limits
	utcOffset       int           // of the operators' clock, in minutes ahead of UTC
	levels          []*degradeLevel
}

// compile returns the table, or nil if c.diags has errors. Checks that depend on earlier results are skipped
// after an error.
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
	fleet := c.readRoot(body)
	if fleet == nil {
		return nil
	}
	c.checkNames(fleet)
	c.checkNesting(fleet)
	c.resolveLimits(fleet)
	c.sortLevels(fleet)
	if c.diags.HasErrors() { // sums of missing rates would cause misleading errors
		return nil
	}
	table := c.buildTable(fleet)
	c.checkFloors(table, fleet)
	c.checkSize(table, fleet)
	if c.diags.HasErrors() {
		return nil
	}
	if err := table.Finalize(); err != nil {
		c.addError(fleet.source, "Invalid table", err.Error())
	}
	return table
}
