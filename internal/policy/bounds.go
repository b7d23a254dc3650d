package policy

import (
	"fmt"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Bounds on a policy's source. With them, compiling any source takes less than about ten seconds and a few
// hundred MB of memory.
const (
	maxSourceBytes    = 256 << 10 // enough for 1,000 tenants with a few lines each
	maxNesting        = 32        // nested brackets or consecutive unary operators; the parser recurses for each
	maxElements       = 1_000     // of a list or map: the largest number of tenants that a fleet is planned for
	maxEvaluations    = 50e6      // evaluated expressions, with each repetition counted
	maxLocalTextBytes = 128       // length of a string in a local value
)

// checkBounds checks the length and the nesting of the source before the source is parsed, because the parser
// recurses once for each nested bracket and sign.
func (c *compiler) checkBounds() error {
	if len(c.source) > maxSourceBytes {
		return fmt.Errorf("compile policy: source has %d bytes, want at most %d", len(c.source), maxSourceBytes)
	}
	tokens, _ := hclsyntax.LexConfig(c.source, "", hcl.InitialPos)
	depth, signs := 0, 0
	for _, token := range tokens {
		switch token.Type {
		case hclsyntax.TokenOBrace, hclsyntax.TokenOBrack, hclsyntax.TokenOParen, hclsyntax.TokenTemplateInterp,
			hclsyntax.TokenTemplateControl, hclsyntax.TokenOQuote, hclsyntax.TokenOHeredoc:
			depth++
		case hclsyntax.TokenCBrace, hclsyntax.TokenCBrack, hclsyntax.TokenCParen, hclsyntax.TokenTemplateSeqEnd,
			hclsyntax.TokenCQuote, hclsyntax.TokenCHeredoc:
			depth--
		case hclsyntax.TokenNewline:
			signs = 0
		case hclsyntax.TokenBang, hclsyntax.TokenMinus, hclsyntax.TokenQuestion:
			signs++
		}
		if depth > maxNesting || signs > maxNesting {
			return fmt.Errorf("compile policy: line %d nested over %d deep", token.Range.Start.Line, maxNesting)
		}
	}
	return nil
}

// checkCost reports whether the estimated work of evaluating all expressions is within maxEvaluations and no
// literal list or map has more than maxElements elements. A for expression and a dynamic block count with one
// repetition for each element of their list if it is a literal, and with maxElements repetitions otherwise. A
// splat always counts with maxElements repetitions. evalLocals limits the elements of local values to
// maxElements, too.
func (c *compiler) checkCost(body *hclsyntax.Body) bool {
	meter := &costMeter{multiplier: 1}
	_ = hclsyntax.Walk(body, meter) // the meter records its results and returns no diagnostics
	if meter.tooLong != nil {
		c.addError(
			*meter.tooLong,
			"List too long",
			fmt.Sprintf("A list or map can have %d elements at most. Split it.", maxElements),
		)
	}
	if meter.evaluations > maxEvaluations {
		c.addError(
			body.MissingItemRange(),
			"Policy too costly to evaluate",
			"Its for expressions and dynamic blocks, each counted with up to 1,000 repetitions, "+
				"take too many evaluations. Nest fewer of them in each other.",
		)
	}
	return !c.diags.HasErrors()
}

// costMeter counts the evaluations that the nodes of a syntax tree cause. It is a walker for hclsyntax.Walk.
type costMeter struct {
	evaluations, multiplier float64    // multiplier is how often the current node's children are evaluated
	tooLong                 *hcl.Range // the first literal list or map with more than maxElements elements
}

// repetitions returns how often the children of a node are evaluated for each evaluation of the node.
func repetitions(n hclsyntax.Node) float64 {
	switch n := n.(type) {
	case *hclsyntax.ForExpr:
		return maxElementsOf(n.CollExpr)
	case *hclsyntax.SplatExpr:
		return maxElements
	case *hclsyntax.Block:
		if list := n.Body.Attributes["for_each"]; n.Type == "dynamic" && list != nil {
			return maxElementsOf(list.Expr)
		}
	case *hclsyntax.TemplateExpr:
		if len(n.Parts) > 1 {
			return 50 // joining the parts copies strings, which costs more than one evaluation
		}
	}
	return 1
}

// maxElementsOf returns the number of elements of a literal list or map, and maxElements for any other
// expression.
func maxElementsOf(list hclsyntax.Expression) float64 {
	switch list := list.(type) {
	case *hclsyntax.TupleConsExpr:
		return float64(max(1, len(list.Exprs)))
	case *hclsyntax.ObjectConsExpr:
		return float64(max(1, len(list.Items)))
	}
	return maxElements
}

// Enter counts the evaluations of a node before the walk visits the node's children.
func (m *costMeter) Enter(n hclsyntax.Node) hcl.Diagnostics {
	m.multiplier *= repetitions(n)
	m.evaluations += m.multiplier
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

// Exit restores the multiplier after the walk has visited a node's children.
func (m *costMeter) Exit(n hclsyntax.Node) hcl.Diagnostics {
	m.multiplier /= repetitions(n)
	return nil
}
