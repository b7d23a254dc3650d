package policy

import (
	"fmt"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Bounds of a text: they keep compiling it under about ten seconds and a few hundred MB, whatever it says.
const (
	maxText        = 256 << 10 // bytes: 1,000 tenants of some lines each
	maxNesting     = 32        // brackets or signs within each other: the parser goes down a level for each
	maxElements    = 1_000     // of a list or map: the most tenants that a fleet is planned for
	maxEvaluations = 50e6      // of expressions evaluated, counted with each round of what is repeated
	maxLocalText   = 128       // bytes of a text in a local
)

// checkBounds looks at the raw text, before the parser does.
func (c *compiler) checkBounds() error {
	if len(c.source) > maxText {
		return fmt.Errorf("a policy of %d bytes: %d at most", len(c.source), maxText)
	}
	tokens, _ := hclsyntax.LexConfig(c.source, "", hcl.InitialPos)
	depth, run := 0, 0
	for _, t := range tokens {
		switch t.Type {
		case hclsyntax.TokenOBrace, hclsyntax.TokenOBrack, hclsyntax.TokenOParen, hclsyntax.TokenTemplateInterp,
			hclsyntax.TokenTemplateControl, hclsyntax.TokenOQuote, hclsyntax.TokenOHeredoc:
			depth++
		case hclsyntax.TokenCBrace, hclsyntax.TokenCBrack, hclsyntax.TokenCParen, hclsyntax.TokenTemplateSeqEnd,
			hclsyntax.TokenCQuote, hclsyntax.TokenCHeredoc:
			depth--
		case hclsyntax.TokenNewline:
			run = 0
		case hclsyntax.TokenBang, hclsyntax.TokenMinus, hclsyntax.TokenQuestion:
			run++
		}
		if depth > maxNesting || run > maxNesting {
			return fmt.Errorf("line %d: a policy nests %d deep at most", t.Range.Start.Line, maxNesting)
		}
	}
	return nil
}

// checkCost bounds the work that the expressions take: a for expression, a splat and a dynamic block are
// taken to go round as often as their literal list has elements, or maxElements times; and literal lists and
// all values of locals are kept to so many.
func (c *compiler) checkCost(body *hclsyntax.Body) bool {
	m := &costMeter{times: 1}
	_ = hclsyntax.Walk(body, m) // the meter adds its findings itself
	if m.tooLong != nil {
		c.addError(
			*m.tooLong,
			"A list too long",
			fmt.Sprintf("A list or map has %d elements at most. Split it.", maxElements),
		)
	}
	if m.nodes > maxEvaluations {
		c.addError(
			body.MissingItemRange(),
			"A policy that takes too long to work out",
			"Its for expressions and dynamic blocks, "+
				"each counted as 1,000 rounds, come to too much work. Nest fewer of them in each other.",
		)
	}
	return !c.diags.HasErrors()
}

type costMeter struct {
	nodes, times float64
	tooLong      *hcl.Range
}

// repetitions is how often what is in a node is evaluated, for each time that the node is.
func repetitions(n hclsyntax.Node) float64 {
	switch n := n.(type) {
	case *hclsyntax.ForExpr:
		return maxElementsOf(n.CollExpr)
	case *hclsyntax.SplatExpr:
		return maxElements
	case *hclsyntax.Block:
		if over := n.Body.Attributes["for_each"]; n.Type == "dynamic" && over != nil {
			return maxElementsOf(over.Expr)
		}
	case *hclsyntax.TemplateExpr:
		if len(n.Parts) > 1 {
			return 50 // text is copied
		}
	}
	return 1
}

func maxElementsOf(list hclsyntax.Expression) float64 {
	switch list := list.(type) {
	case *hclsyntax.TupleConsExpr:
		return float64(max(1, len(list.Exprs)))
	case *hclsyntax.ObjectConsExpr:
		return float64(max(1, len(list.Items)))
	}
	return maxElements
}

func (m *costMeter) Enter(n hclsyntax.Node) hcl.Diagnostics {
	m.times *= repetitions(n)
	m.nodes += m.times
	elements := 0
	switch n := n.(type) {
	case *hclsyntax.TupleConsExpr:
		elements = len(n.Exprs)
	case *hclsyntax.ObjectConsExpr:
		elements = len(n.Items)
	}
	if elements > maxElements && m.tooLong == nil {
		at := n.Range()
		m.tooLong = &at
	}
	return nil
}

func (m *costMeter) Exit(n hclsyntax.Node) hcl.Diagnostics {
	m.times /= repetitions(n)
	return nil
}
