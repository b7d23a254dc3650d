package policy

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/function"
	"github.com/zclconf/go-cty/cty/function/stdlib"
)

// evalContext returns the variables and functions that expressions can use: the names of the fleet, functions
// that convert units, and functions for numbers, lists and maps.
func (c *compiler) evalContext() *hcl.EvalContext {
	return &hcl.EvalContext{
		Variables: map[string]cty.Value{
			"sites": stringList(c.known.Sites), "books": stringList(c.known.Tenants),
			"pods":    stringList(c.known.Cells),
			"classes": stringList(c.known.classNames()),
		},
		Functions: map[string]function.Function{
			"per_second":  scaleFunction(1),
			"per_minute":  scaleFunction(1. / 60),
			"per_hour":    scaleFunction(1. / 3600),
			"percent":     scaleFunction(1. / 100),
			"seconds":     scaleFunction(1000),
			"worth":       c.priorityWeightFunction(),
			"min":         stdlib.MinFunc,
			"max":         stdlib.MaxFunc,
			"ceil":        stdlib.CeilFunc,
			"floor":       stdlib.FloorFunc,
			"contains":    stdlib.ContainsFunc,
			"length":      stdlib.LengthFunc,
			"keys":        stdlib.KeysFunc,
			"values":      stdlib.ValuesFunc,
			"setsubtract": stdlib.SetSubtractFunc,
			"toset":       stdlib.MakeToFunc(cty.Set(cty.String)),
		},
	}
}

// stringList returns a list value, also for no names.
func stringList(names []string) cty.Value {
	if len(names) == 0 {
		return cty.ListValEmpty(cty.String)
	}
	var list []cty.Value
	for _, n := range names {
		list = append(list, cty.StringVal(n))
	}
	return cty.ListVal(list)
}

// scaleFunction returns a function that multiplies its number by a factor. It converts, for instance, units
// per minute to units per second, or seconds to milliseconds of work.
func scaleFunction(factor float64) function.Function {
	return function.New(&function.Spec{
		Params: []function.Parameter{{Name: "number", Type: cty.Number}},
		Type:   function.StaticReturnType(cty.Number),
		Impl: func(args []cty.Value, _ cty.Type) (cty.Value, error) {
			if args[0].IsWhollyKnown() && args[0].AsBigFloat().IsInf() {
				return cty.NilVal, function.NewArgErrorf(0, "it is infinite")
			}
			if factor < 1 { // division is exact; 1/100 and 1/60 as factors are not
				return args[0].Divide(cty.NumberFloatVal(float64(int(1/factor + 0.5)))), nil
			}
			return args[0].Multiply(cty.NumberFloatVal(factor)), nil
		},
	})
}

// priorityWeightFunction returns the function that gives the priority weight of a known class.
func (c *compiler) priorityWeightFunction() function.Function {
	return function.New(&function.Spec{
		Params: []function.Parameter{{Name: "class", Type: cty.String}},
		Type:   function.StaticReturnType(cty.Number),
		Impl: func(args []cty.Value, _ cty.Type) (cty.Value, error) {
			i := slices.IndexFunc(c.known.Classes, func(k Class) bool { return k.Name == args[0].AsString() })
			if i < 0 {
				return cty.NilVal, function.NewArgErrorf(0, "no class %q is known.%s", args[0].AsString(),
					strings.TrimRight(nameSuggestion(args[0].AsString(), c.known.classNames()), ".?"))
			}
			return cty.NumberFloatVal(c.known.Classes[i].PriorityWeight), nil
		},
	})
}

// evalLocals evaluates the local values, each after those that it refers to. A value that can't be evaluated
// is unknown to the values that refer to it, so that its error is reported once.
func (c *compiler) evalLocals(attrs hcl.Attributes) {
	values := map[string]cty.Value{}
	var path []string
	var visit func(string)
	visit = func(name string) {
		attr := attrs[name]
		if _, done := values[name]; attr == nil || done {
			return
		}
		if i := slices.Index(path, name); i >= 0 {
			c.addError(
				attr.Range,
				"Cycle of locals",
				fmt.Sprintf("%s -> %s: each refers to the next. "+
					"Give one of them a value that refers to none of the others.", strings.Join(path[i:], " -> "), name),
			)
			values[name] = cty.DynamicVal
			return
		}
		path = append(path, name)
		for _, traversal := range attr.Expr.Variables() {
			if step, ok := localName(traversal); ok && traversal.RootName() == "local" {
				visit(step)
			}
		}
		path = path[:len(path)-1]
		if _, cyclic := values[name]; cyclic {
			return
		}
		c.evalCtx.Variables["local"] = cty.ObjectVal(values)
		v, diags := attr.Expr.Value(c.evalCtx)
		if c.diags = append(c.diags, diags...); diags.HasErrors() {
			v = cty.DynamicVal
		}
		if countElements(v) > maxElements {
			c.addError(
				attr.Expr.Range(),
				"Local too large",
				fmt.Sprintf("A local can have %d elements at most, and no text "+
					"over %d bytes. Split it.", maxElements, maxLocalTextBytes),
			)
			v = cty.DynamicVal
		}
		values[name] = v
	}
	for _, name := range slices.Sorted(maps.Keys(attrs)) {
		visit(name)
	}
	c.evalCtx.Variables["local"] = cty.ObjectVal(values)
}

// localName returns the name of the local value in a reference of the form local.NAME.
func localName(traversal hcl.Traversal) (string, bool) {
	if len(traversal) < 2 {
		return "", false
	}
	step, ok := traversal[1].(hcl.TraverseAttr)
	return step.Name, ok
}

// countElements returns the number of elements in a value, at all levels. It stops counting once there are
// more than maxElements. A string that is longer than maxLocalTextBytes counts as too many elements.
func countElements(v cty.Value) int {
	n := 0
	_ = cty.Walk(v, func(_ cty.Path, v cty.Value) (bool, error) {
		if n++; v.Type() == cty.String && v.IsKnown() && !v.IsNull() && len(v.AsString()) > maxLocalTextBytes {
			n = maxElements + 2
		}
		if n > maxElements+1 {
			return false, fmt.Errorf("count elements: value exceeds its limits")
		}
		return true, nil
	})
	return n - 1 // without the value itself
}
