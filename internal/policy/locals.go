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

// evalContext are what expressions can speak of: the fleet's names, and functions in the operators' terms.
func (c *compiler) evalContext() *hcl.EvalContext {
	return &hcl.EvalContext{
		Variables: map[string]cty.Value{
			"sites": texts(c.known.Sites), "books": texts(c.known.Tenants), "pods": texts(c.known.Cells),
			"classes": texts(c.known.classNames()),
		},
		Functions: map[string]function.Function{
			"per_second":  scaled(1),
			"per_minute":  scaled(1. / 60),
			"per_hour":    scaled(1. / 3600),
			"percent":     scaled(1. / 100),
			"seconds":     scaled(1000),
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

func texts(names []string) cty.Value {
	if len(names) == 0 {
		return cty.ListValEmpty(cty.String)
	}
	var list []cty.Value
	for _, n := range names {
		list = append(list, cty.StringVal(n))
	}
	return cty.ListVal(list)
}

// scaled gives its number times a factor: units a second from those a minute, ms of work from seconds.
func scaled(by float64) function.Function {
	return function.New(&function.Spec{
		Params: []function.Parameter{{Name: "number", Type: cty.Number}},
		Type:   function.StaticReturnType(cty.Number),
		Impl: func(args []cty.Value, _ cty.Type) (cty.Value, error) {
			if args[0].IsWhollyKnown() && args[0].AsBigFloat().IsInf() {
				return cty.NilVal, function.NewArgErrorf(0, "it has no end")
			}
			if by < 1 { // divide, as 1/100 and 1/60 are no exact numbers
				return args[0].Divide(cty.NumberFloatVal(float64(int(1/by + 0.5)))), nil
			}
			return args[0].Multiply(cty.NumberFloatVal(by)), nil
		},
	})
}

func (c *compiler) priorityWeightFunction() function.Function {
	return function.New(&function.Spec{
		Params: []function.Parameter{{Name: "class", Type: cty.String}},
		Type:   function.StaticReturnType(cty.Number),
		Impl: func(args []cty.Value, _ cty.Type) (cty.Value, error) {
			i := slices.IndexFunc(c.known.Classes, func(k Class) bool { return k.Name == args[0].AsString() })
			if i < 0 {
				return cty.NilVal, function.NewArgErrorf(0, "no class %q is known.%s", args[0].AsString(),
					strings.TrimRight(didYouMean(args[0].AsString(), c.known.classNames()), ".?"))
			}
			return cty.NumberFloatVal(c.known.Classes[i].PriorityWeight), nil
		},
	})
}

// evalLocals evaluates the names that the text gives to values, each after those that it speaks of. One that
// can't be is unknown to the others, so that its error is reported once.
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
				"Locals go round in a cycle",
				fmt.Sprintf("%s -> %s: each needs the next to be worked out. "+
					"Give one of them a value of its own.", strings.Join(path[i:], " -> "), name),
			)
			values[name] = cty.DynamicVal
			return
		}
		path = append(path, name)
		for _, t := range attr.Expr.Variables() {
			if step, ok := nameAfter(t); ok && t.RootName() == "local" {
				visit(step)
			}
		}
		path = path[:len(path)-1]
		if _, cyclic := values[name]; cyclic {
			return
		}
		c.ctx.Variables["local"] = cty.ObjectVal(values)
		v, diags := attr.Expr.Value(c.ctx)
		if c.diags = append(c.diags, diags...); diags.HasErrors() {
			v = cty.DynamicVal
		}
		if elements(v) > maxElements {
			c.addError(
				attr.Expr.Range(),
				"A value too large",
				fmt.Sprintf("A local has %d elements at most, and no text "+
					"over %d bytes. Split it.", maxElements, maxLocalText),
			)
			v = cty.DynamicVal
		}
		values[name] = v
	}
	for _, name := range slices.Sorted(maps.Keys(attrs)) {
		visit(name)
	}
	c.ctx.Variables["local"] = cty.ObjectVal(values)
}

// nameAfter returns the name in local.NAME.
func nameAfter(t hcl.Traversal) (string, bool) {
	if len(t) < 2 {
		return "", false
	}
	step, ok := t[1].(hcl.TraverseAttr)
	return step.Name, ok
}

// elements counts what is in a value, up to a little over what is allowed. Long texts count as too many.
func elements(v cty.Value) int {
	n := 0
	_ = cty.Walk(v, func(_ cty.Path, v cty.Value) (bool, error) {
		if n++; v.Type() == cty.String && v.IsKnown() && !v.IsNull() && len(v.AsString()) > maxLocalText {
			n = maxElements + 2
		}
		if n > maxElements+1 {
			return false, fmt.Errorf("too many")
		}
		return true, nil
	})
	return n - 1 // the value itself
}
