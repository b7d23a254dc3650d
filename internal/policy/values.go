package policy

import (
	"fmt"
	"math"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
)

// number is a number that a policy sets, with its place in the source.
type number struct {
	value  float64
	source hcl.Range
}

// boolean is a boolean that a policy sets, with its place in the source.
type boolean struct {
	value  bool
	source hcl.Range
}

// maxUnits is the largest amount that a policy may set. Tables have the same bound.
const maxUnits = 1e12

// value evaluates an attribute and converts the result to a type. The result is false for an attribute that
// is absent or has no such value. Faults are reported, except for a value that depends on a faulty local
// value, which has been reported.
func (c *compiler) value(attr *hcl.Attribute, want cty.Type) (cty.Value, bool) {
	if attr == nil {
		return cty.NilVal, false
	}
	v, diags := attr.Expr.Value(c.evalCtx)
	if diags.HasErrors() {
		c.diags = append(c.diags, diags...)
		return cty.NilVal, false
	}
	if !v.IsWhollyKnown() {
		return cty.NilVal, false
	}
	if v.IsNull() {
		c.addError(
			attr.Expr.Range(),
			"Missing value",
			fmt.Sprintf("%s is null here. Set a value, or leave it out.", attr.Name),
		)
		return cty.NilVal, false
	}
	got := v.Type()
	v, err := convert.Convert(v, want)
	if err != nil || want == cty.Number && got != cty.Number {
		c.addError(
			attr.Expr.Range(),
			"Wrong type",
			fmt.Sprintf("%s takes a %s, but this is a %s.%s", attr.Name,
				want.FriendlyName(), got.FriendlyName(), conversionHint(want, got)),
		)
		return cty.NilVal, false
	}
	return v, true
}

// conversionHint returns how to correct a string where a number is wanted, and nothing for other types.
func conversionHint(want, got cty.Type) string {
	if want == cty.Number && got == cty.String {
		return " Write it without quotes: 30, percent(30), per_minute(600), seconds(2)."
	}
	return ""
}

// number evaluates an attribute as a number. It returns nil for an absent or faulty one.
func (c *compiler) number(attr *hcl.Attribute) *number {
	v, ok := c.value(attr, cty.Number)
	if !ok {
		return nil
	}
	n, _ := v.AsBigFloat().Float64()
	return &number{n, attr.Expr.Range()}
}

// amount evaluates an attribute as a number of units, or of units per second, between 0 and maxUnits. It
// returns nil for an absent or faulty one.
func (c *compiler) amount(attr *hcl.Attribute) *number {
	g := c.number(attr)
	if g != nil && !(g.value >= 0 && g.value <= maxUnits) {
		c.addError(
			g.source,
			"Number out of bounds",
			fmt.Sprintf("%s is %v, want 0 to %v.", attr.Name, g.value, maxUnits),
		)
		return nil
	}
	return g
}

// fraction evaluates an attribute as a number between 0 and 1. It returns nil for an absent or faulty one.
func (c *compiler) fraction(attr *hcl.Attribute) *number {
	g := c.number(attr)
	if g != nil && !(g.value >= 0 && g.value <= 1) {
		hint := "Write 0 to 1, or percent(0) to percent(100)."
		if g.value > 1 && g.value <= 100 {
			hint = fmt.Sprintf("Did you mean percent(%v)?", g.value)
		}
		c.addError(g.source, "Invalid fraction", fmt.Sprintf("%s is %v. %s", attr.Name, g.value, hint))
		return nil
	}
	return g
}

// flag evaluates an attribute as a boolean. It returns nil for an absent or faulty one.
func (c *compiler) flag(attr *hcl.Attribute) *boolean {
	v, ok := c.value(attr, cty.Bool)
	if !ok {
		return nil
	}
	return &boolean{v.True(), attr.Expr.Range()}
}

// text evaluates an attribute as a string. The result is false for an absent or faulty one.
func (c *compiler) text(attr *hcl.Attribute) (string, bool) {
	v, ok := c.value(attr, cty.String)
	if !ok {
		return "", false
	}
	return v.AsString(), true
}

// texts evaluates an attribute as a list of strings, without the null elements. It returns nil for an absent,
// faulty or empty list.
func (c *compiler) texts(attr *hcl.Attribute) (list []string) {
	v, ok := c.value(attr, cty.List(cty.String))
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

// integer evaluates an attribute as an integer between minimum and maximum, both included. It returns 0 and
// false for an absent attribute, and for a faulty one, whose error it adds to the compiler's.
func (c *compiler) integer(attr *hcl.Attribute, minimum, maximum int) (int, bool) {
	n := c.number(attr)
	if n == nil {
		return 0, false
	}
	if n.value != math.Trunc(n.value) || n.value < float64(minimum) || n.value > float64(maximum) {
		c.addError(
			n.source,
			"Number out of bounds",
			fmt.Sprintf("%s is %v, want a whole number from %d to %d.", attr.Name, n.value, minimum, maximum),
		)
		return 0, false
	}
	return int(n.value), true
}

// duration evaluates an attribute as a duration with a unit, of at most one hour. The result is false for an
// absent or faulty one.
func (c *compiler) duration(attr *hcl.Attribute) (time.Duration, bool) {
	text, ok := c.text(attr)
	if !ok {
		return 0, false
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > time.Hour {
		c.addError(
			attr.Expr.Range(),
			"Invalid duration",
			fmt.Sprintf("%s is %q: write a number with its unit, such as \"500ms\" or "+
				"\"2s\", one hour at most.", attr.Name, text),
		)
		return 0, false
	}
	return d, true
}

// status evaluates an attribute as the HTTP status for rejected requests, 429 or 503. The result is false for
// an absent or faulty one.
func (c *compiler) status(attr *hcl.Attribute) (int, bool) {
	n, ok := c.number(attr), attr != nil
	if n == nil {
		return 0, false
	}
	if n.value != 429 && n.value != 503 {
		c.addError(
			n.source,
			"Invalid status",
			fmt.Sprintf("%s is %v: write 429 (the client sends too many requests) or 503 (the "+
				"service is overloaded).", attr.Name, n.value),
		)
		ok = false
	}
	return int(n.value), ok
}

// minute evaluates an attribute as a time of day, in minutes since midnight. The result is false for an
// absent or faulty one.
func (c *compiler) minute(attr *hcl.Attribute) (int, bool) {
	text, ok := c.text(attr)
	if !ok {
		return 0, false
	}
	t, err := time.Parse("15:04", text)
	if err != nil {
		c.addError(
			attr.Expr.Range(),
			"Invalid time of day",
			fmt.Sprintf("%s is %q: write hours and minutes, \"00:00\" to \"23:59\".", attr.Name, text),
		)
		return 0, false
	}
	return t.Hour()*60 + t.Minute(), true
}

// clockOffset evaluates the attribute for the operators' time zone. It returns the minutes by which their
// clock is ahead of UTC, and 0 for an absent or faulty attribute.
func (c *compiler) clockOffset(attr *hcl.Attribute) int {
	text, ok := c.text(attr)
	if !ok {
		return 0
	}
	t, err := time.Parse("-07:00", text)
	if err != nil {
		c.addError(
			attr.Expr.Range(),
			"Invalid clock",
			fmt.Sprintf("%s is %q: write how far the operators' clock is ahead of UTC, such as "+
				"\"+02:00\".", attr.Name, text),
		)
		return 0
	}
	_, offsetSeconds := t.Zone()
	return offsetSeconds / 60
}
