package policy

import (
	"fmt"
	"math"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
)

// number is a number that the text gives, and where.
type number struct {
	value  float64
	source hcl.Range
}

type boolean struct {
	value  bool
	source hcl.Range
}

const maxUnits = 1e12 // of any figure, as in a table

// value evaluates an attribute as a type. What can't be is noted, or has been where it came from.
func (c *compiler) value(a *hcl.Attribute, want cty.Type) (cty.Value, bool) {
	if a == nil {
		return cty.NilVal, false
	}
	v, diags := a.Expr.Value(c.ctx)
	if diags.HasErrors() {
		c.diags = append(c.diags, diags...)
		return cty.NilVal, false
	}
	if !v.IsWhollyKnown() {
		return cty.NilVal, false
	}
	if v.IsNull() {
		c.addError(
			a.Expr.Range(),
			"No value",
			fmt.Sprintf("%s has none here. Give it one, or leave it out.", a.Name),
		)
		return cty.NilVal, false
	}
	got := v.Type()
	v, err := convert.Convert(v, want)
	if err != nil || want == cty.Number && got != cty.Number {
		c.addError(
			a.Expr.Range(),
			"Not of the right kind",
			fmt.Sprintf("%s takes a %s, and this is a %s.%s", a.Name,
				want.FriendlyName(), got.FriendlyName(), remedy(want, got)),
		)
		return cty.NilVal, false
	}
	return v, true
}

func remedy(want, got cty.Type) string {
	if want == cty.Number && got == cty.String {
		return " Write it without quotes: 30, percent(30), per_minute(600), seconds(2)."
	}
	return ""
}

func (c *compiler) number(a *hcl.Attribute) *number {
	v, ok := c.value(a, cty.Number)
	if !ok {
		return nil
	}
	n, _ := v.AsBigFloat().Float64()
	return &number{n, a.Expr.Range()}
}

// amount is a number of units, or of units a second.
func (c *compiler) amount(a *hcl.Attribute) *number {
	g := c.number(a)
	if g != nil && !(g.value >= 0 && g.value <= maxUnits) {
		c.addError(
			g.source,
			"A number out of bounds",
			fmt.Sprintf("%s is %v: it can be 0 to %v.", a.Name, g.value, maxUnits),
		)
		return nil
	}
	return g
}

// fraction is a part of a whole.
func (c *compiler) fraction(a *hcl.Attribute) *number {
	g := c.number(a)
	if g != nil && !(g.value >= 0 && g.value <= 1) {
		way := "It can be 0 to 1, or percent(0) to percent(100)."
		if g.value > 1 && g.value <= 100 {
			way = fmt.Sprintf("Did you mean percent(%v)?", g.value)
		}
		c.addError(g.source, "Not a part of a whole", fmt.Sprintf("%s is %v. %s", a.Name, g.value, way))
		return nil
	}
	return g
}

func (c *compiler) flag(a *hcl.Attribute) *boolean {
	v, ok := c.value(a, cty.Bool)
	if !ok {
		return nil
	}
	return &boolean{v.True(), a.Expr.Range()}
}

func (c *compiler) text(a *hcl.Attribute) (string, bool) {
	v, ok := c.value(a, cty.String)
	if !ok {
		return "", false
	}
	return v.AsString(), true
}

func (c *compiler) texts(a *hcl.Attribute) (list []string) {
	v, ok := c.value(a, cty.List(cty.String))
	if !ok {
		return nil
	}
	for _, e := range v.AsValueSlice() {
		if !e.IsNull() {
			list = append(list, e.AsString())
		}
	}
	return list
}

// integer is a whole number within bounds.
func (c *compiler) integer(a *hcl.Attribute, least, most int) (int, bool) {
	g := c.number(a)
	if g == nil {
		return 0, false
	}
	if g.value != math.Trunc(g.value) || g.value < float64(least) || g.value > float64(most) {
		c.addError(
			g.source,
			"A number out of bounds",
			fmt.Sprintf("%s is %v: it can be a whole number from %d to %d.", a.Name, g.value, least, most),
		)
		return 0, false
	}
	return int(g.value), true
}

// duration is a time with its unit.
func (c *compiler) duration(a *hcl.Attribute) (time.Duration, bool) {
	text, ok := c.text(a)
	if !ok {
		return 0, false
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > time.Hour {
		c.addError(
			a.Expr.Range(),
			"Not a time to wait",
			fmt.Sprintf("%s is %q: write a number with its unit, such as \"500ms\" or "+
				"\"2s\", one hour at most.", a.Name, text),
		)
		return 0, false
	}
	return d, true
}

// status is the status that a client gets.
func (c *compiler) status(a *hcl.Attribute) (int, bool) {
	n, ok := c.number(a), a != nil
	if n == nil {
		return 0, false
	}
	if n.value != 429 && n.value != 503 {
		c.addError(
			n.source,
			"Not a status for a refusal",
			fmt.Sprintf("%s is %v: write 429 (this client asks too much) or 503 (the "+
				"service has no room).", a.Name, n.value),
		)
		ok = false
	}
	return int(n.value), ok
}

// minute is a time of day, as minutes.
func (c *compiler) minute(a *hcl.Attribute) (int, bool) {
	text, ok := c.text(a)
	if !ok {
		return 0, false
	}
	t, err := time.Parse("15:04", text)
	if err != nil {
		c.addError(
			a.Expr.Range(),
			"Not a time of day",
			fmt.Sprintf("%s is %q: write hours and minutes, \"00:00\" to \"23:59\".", a.Name, text),
		)
		return 0, false
	}
	return t.Hour()*60 + t.Minute(), true
}

// clockZone is how many minutes the operators' clock is ahead of UTC.
func (c *compiler) clockZone(a *hcl.Attribute) int {
	text, ok := c.text(a)
	if !ok {
		return 0
	}
	t, err := time.Parse("-07:00", text)
	if err != nil {
		c.addError(
			a.Expr.Range(),
			"Not a clock",
			fmt.Sprintf("%s is %q: write how far the operators' clock is ahead of UTC, such as "+
				"\"+02:00\".", a.Name, text),
		)
		return 0
	}
	_, ahead := t.Zone()
	return ahead / 60
}
