package policy

import (
	"fmt"
	"maps"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/ext/dynblock"

	"wrenspread/ratelimit"
)

// policyScope is a block that applies to the requests with one value of an attribute or, for the fleet's
// block, to all requests.
type policyScope struct {
	attribute ratelimit.Attribute
	value     string
	source    hcl.Range // of its first line
	parent    *policyScope
	children  []*policyScope
	limits    [ratelimit.UnitPerKey + 1]*policyLimit

	share, weight  *number // defaults for the scope's limits
	borrow         *boolean
	priority       int // 1: always has priority, -1: never, 0: not set
	prioritySource hcl.Range
}

// attributesByBlock maps the type of a scope's block to the attribute that the scope is for.
var attributesByBlock = map[string]ratelimit.Attribute{
	"site":  ratelimit.AttributeSite,
	"book":  ratelimit.AttributeTenant,
	"class": ratelimit.AttributeClass,
	"pod":   ratelimit.AttributeCell,
}

// unitsByBlock maps the type of a limit's block to the unit of the limit.
var unitsByBlock = map[string]ratelimit.Unit{
	"requests": ratelimit.UnitRequests,
	"work":     ratelimit.UnitWork,
	"open":     ratelimit.UnitConcurrency,
	"repeats":  ratelimit.UnitRetries,
	"key":      ratelimit.UnitPerKey,
}

var fileSchema = &hcl.BodySchema{
	Attributes: optionalAttributes("clock"),
	Blocks: []hcl.BlockHeaderSchema{{Type: "locals"}, {Type: "defaults"}, {Type: "fleet"},
		{Type: "degrade", LabelNames: []string{"name"}}},
}

var scopeSchema = &hcl.BodySchema{
	Attributes: optionalAttributes("share", "weight", "borrow", "priority"),
	Blocks:     scopeBlocks(),
}

// optionalAttributes returns the schema of attributes that may be absent.
func optionalAttributes(names ...string) (list []hcl.AttributeSchema) {
	for _, n := range names {
		list = append(list, hcl.AttributeSchema{Name: n})
	}
	return list
}

// scopeBlocks returns the schema of the blocks within a scope: inner scopes and limits.
func scopeBlocks() (list []hcl.BlockHeaderSchema) {
	for _, name := range slices.Sorted(maps.Keys(attributesByBlock)) {
		list = append(list, hcl.BlockHeaderSchema{Type: name, LabelNames: []string{"name"}})
	}
	for _, name := range slices.Sorted(maps.Keys(unitsByBlock)) {
		list = append(list, hcl.BlockHeaderSchema{Type: name})
	}
	return list
}

// content reads a body by its schema and reports attributes and blocks that the schema does not have.
func (c *compiler) content(body hcl.Body, schema *hcl.BodySchema) *hcl.BodyContent {
	content, diags := body.Content(schema)
	c.diags = append(c.diags, diags...)
	return content
}

// readRoot reads the outermost blocks and returns the fleet's scope, or nil if there is none or there are too
// many local values.
func (c *compiler) readRoot(body hcl.Body) *policyScope {
	c.evalCtx = c.evalContext()
	content := c.content(body, fileSchema)
	locals := hcl.Attributes{}
	for _, block := range content.Blocks.OfType("locals") {
		attrs, diags := block.Body.JustAttributes()
		c.diags = append(c.diags, diags...)
		for name, a := range attrs {
			if locals[name] != nil {
				c.addError(
					a.NameRange,
					"Local set twice",
					fmt.Sprintf("%q has a value already. Remove one of the two.", name),
				)
			}
			locals[name] = a
		}
	}
	if len(locals) > maxElements {
		c.addError(body.MissingItemRange(), "Too many locals", fmt.Sprintf("There can be %d at most.", maxElements))
		return nil
	}
	c.evalLocals(locals)
	c.utcOffset = c.clockOffset(content.Attributes["clock"])
	c.defaultSettings = builtInSettings()
	for i, block := range content.Blocks.OfType("defaults") {
		if i > 0 {
			c.addDuplicateError(block, "")
			continue
		}
		c.defaultsBlock(block.Body)
	}
	for _, block := range content.Blocks.OfType("degrade") {
		c.degradeBlock(block)
	}
	fleets := content.Blocks.OfType("fleet")
	if len(fleets) == 0 {
		c.addError(
			body.MissingItemRange(),
			"Missing fleet",
			"A policy needs one block `fleet { ... }`, which contains all limits.",
		)
		return nil
	}
	for _, block := range fleets[1:] {
		c.addDuplicateError(block, "")
	}
	return c.scopeBlock(fleets[0], nil)
}

// addDuplicateError reports a block as a duplicate of an earlier one. The name is empty for blocks without a
// label.
func (c *compiler) addDuplicateError(block *hcl.Block, name string) {
	if name != "" {
		name = fmt.Sprintf(" %q", name)
	}
	c.addError(
		block.DefRange,
		"Duplicate block",
		fmt.Sprintf("There is a block `%s%s` in this place already, and two of them "+
			"could contradict each other. Combine them.", block.Type, name),
	)
}

// scopeBlock reads the block of a scope and all blocks within it. The parent of the fleet's scope is nil.
func (c *compiler) scopeBlock(block *hcl.Block, parent *policyScope) *policyScope {
	scope := &policyScope{attribute: attributesByBlock[block.Type], source: block.DefRange, parent: parent}
	if len(block.Labels) > 0 {
		scope.value = block.Labels[0]
	}
	if c.scopeCount++; c.scopeCount > ratelimit.MaxLimits {
		if c.scopeCount == ratelimit.MaxLimits+1 {
			c.addError(
				block.DefRange,
				"Too many parts",
				fmt.Sprintf("A policy can have %d at most. Let parts with little traffic share one "+
					"block with the name \"*\".", ratelimit.MaxLimits),
			)
		}
		return scope
	}
	content := c.content(dynblock.Expand(block.Body, c.evalCtx), scopeSchema)
	c.scopeAttributes(scope, content.Attributes)
	names := map[string]bool{}
	for _, inner := range content.Blocks {
		if unit, ok := unitsByBlock[inner.Type]; ok {
			if scope.limits[unit] != nil {
				c.addDuplicateError(inner, "")
				continue
			}
			scope.limits[unit] = c.limitBlock(inner, unit)
			continue
		}
		if key := inner.Type + "/" + inner.Labels[0]; names[key] {
			c.addDuplicateError(inner, inner.Labels[0])
		} else {
			names[key] = true
			scope.children = append(scope.children, c.scopeBlock(inner, scope))
		}
	}
	if parent != nil && len(content.Attributes) == 0 && len(content.Blocks) == 0 {
		c.addError(
			block.DefRange,
			"Empty block",
			"It has no effect on any request. Set a share, a limit or a "+
				"priority, or remove it.",
		)
	}
	return scope
}

// scopeAttributes reads the attributes of a scope's block.
func (c *compiler) scopeAttributes(scope *policyScope, attrs hcl.Attributes) {
	scope.share, scope.weight, scope.borrow = c.fraction(attrs["share"]),
		c.amount(attrs["weight"]), c.flag(attrs["borrow"])
	if a := attrs["priority"]; a != nil {
		scope.prioritySource = a.Expr.Range()
		switch text, ok := c.text(a); {
		case ok && text == "always":
			scope.priority = 1
		case ok && text == "never":
			scope.priority = -1
		case ok:
			c.addError(
				scope.prioritySource,
				"Invalid priority",
				fmt.Sprintf("%q is not allowed: write \"always\" or \"never\", or leave it out, and "+
					"the node decides by worth.", text),
			)
		}
	}
	if scope.share != nil && scope.parent == nil {
		c.addError(
			scope.share.source,
			"Share without a limit",
			"The fleet has no part around it to take a share of. Set rates in its limits.",
		)
	}
}

// path returns the name of a scope for messages, such as book/NAME/class/NAME.
func (s *policyScope) path() string {
	if s.parent == nil {
		return "fleet"
	}
	if s.parent.parent == nil {
		return s.attribute.String() + "/" + s.value
	}
	return s.parent.path() + "/" + s.attribute.String() + "/" + s.value
}
