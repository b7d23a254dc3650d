package policy

import (
	"fmt"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Bounds of a text: they keep compiling it under about ten seconds and a few hundred MB, whatever it says.
const (
	mostText     = 256 << 10 // bytes: 1,000 books of some lines each
	mostNested   = 32        // brackets or signs within each other: the parser goes down a level for each
	mostElements = 1_000     // of a list or map: the most books that a fleet is planned for
	mostNodes    = 50e6      // of expressions worked out, counted with each round of what is repeated
	mostWord     = 128       // bytes of a text in a local
)

// bounded looks at the raw text, before the parser does.
func (c *compiler) bounded() error {
	if len(c.source) > mostText {
		return fmt.Errorf("a policy of %d bytes: %d at most", len(c.source), mostText)
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
		if depth > mostNested || run > mostNested {
			return fmt.Errorf("line %d: a policy nests %d deep at most", t.Range.Start.Line, mostNested)
		}
	}
	return nil
}

// affordable bounds the work that the expressions take: a for expression, a splat and a dynamic block are taken to go
// round as often as their literal list has elements, or mostElements times; and literal lists and all values of locals are kept to so many.
func (c *compiler) affordable(body *hclsyntax.Body) bool {
	m := &meter{times: 1}
	hclsyntax.Walk(body, m)
	if m.long != nil {
		c.fail(*m.long, "A list too long", fmt.Sprintf("A list or map has %d elements at most. Split it.", mostElements))
	}
	if m.nodes > mostNodes {
		c.fail(body.MissingItemRange(), "A policy that takes too long to work out", "Its for expressions and dynamic blocks, "+
			"each counted as 1,000 rounds, come to too much work. Nest fewer of them in each other.")
	}
	return !c.diags.HasErrors()
}

type meter struct {
	nodes, times float64
	long         *hcl.Range
}

// rounds is how often what is in a node is worked out, for each time that the node is.
func rounds(n hclsyntax.Node) float64 {
	switch n := n.(type) {
	case *hclsyntax.ForExpr:
		return elementsAtMost(n.CollExpr)
	case *hclsyntax.SplatExpr:
		return mostElements
	case *hclsyntax.Block:
		if over := n.Body.Attributes["for_each"]; n.Type == "dynamic" && over != nil {
			return elementsAtMost(over.Expr)
		}
	case *hclsyntax.TemplateExpr:
		if len(n.Parts) > 1 {
			return 50 // text is copied
		}
	}
	return 1
}

func elementsAtMost(list hclsyntax.Expression) float64 {
	switch list := list.(type) {
	case *hclsyntax.TupleConsExpr:
		return float64(max(1, len(list.Exprs)))
	case *hclsyntax.ObjectConsExpr:
		return float64(max(1, len(list.Items)))
	}
	return mostElements
}

func (m *meter) Enter(n hclsyntax.Node) hcl.Diagnostics {
	m.times *= rounds(n)
	m.nodes += m.times
	elements := 0
	switch n := n.(type) {
	case *hclsyntax.TupleConsExpr:
		elements = len(n.Exprs)
	case *hclsyntax.ObjectConsExpr:
		elements = len(n.Items)
	}
	if elements > mostElements && m.long == nil {
		at := n.Range()
		m.long = &at
	}
	return nil
}

func (m *meter) Exit(n hclsyntax.Node) hcl.Diagnostics {
	m.times /= rounds(n)
	return nil
}
