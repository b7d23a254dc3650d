package policy

import (
	"fmt"
	"maps"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/ext/dynblock"

	"wrenspread/ratelimit"
)

// scope is a block that stands for some of the requests.
type scope struct {
	attribute ratelimit.Attribute
	value     string
	source    hcl.Range // of its first line
	parent    *scope
	children  []*scope
	limits    [ratelimit.UnitPerKey + 1]*limit

	share, weight  *number // for its limits that say none
	borrow         *boolean
	priority       int
	prioritySource hcl.Range
}

var attributeNames = map[string]ratelimit.Attribute{
	"site":  ratelimit.AttributeSite,
	"book":  ratelimit.AttributeTenant,
	"class": ratelimit.AttributeClass,
	"pod":   ratelimit.AttributeCell,
}

var units = map[string]ratelimit.Unit{
	"requests": ratelimit.UnitRequests,
	"work":     ratelimit.UnitWork,
	"open":     ratelimit.UnitConcurrency,
	"repeats":  ratelimit.UnitRetries,
	"key":      ratelimit.UnitPerKey,
}

var fileSchema = &hcl.BodySchema{
	Attributes: attributes("clock"),
	Blocks: []hcl.BlockHeaderSchema{{Type: "locals"}, {Type: "defaults"}, {Type: "fleet"},
		{Type: "degrade", LabelNames: []string{"name"}}},
}

var scopeSchema = &hcl.BodySchema{
	Attributes: attributes("share", "weight", "borrow", "priority"),
	Blocks:     scopeBlocks(),
}

func attributes(names ...string) (list []hcl.AttributeSchema) {
	for _, n := range names {
		list = append(list, hcl.AttributeSchema{Name: n})
	}
	return list
}

func scopeBlocks() (list []hcl.BlockHeaderSchema) {
	for _, name := range slices.Sorted(maps.Keys(attributeNames)) {
		list = append(list, hcl.BlockHeaderSchema{Type: name, LabelNames: []string{"name"}})
	}
	for _, name := range slices.Sorted(maps.Keys(units)) {
		list = append(list, hcl.BlockHeaderSchema{Type: name})
	}
	return list
}

// content reads a body by its schema and notes what doesn't belong there.
func (c *compiler) content(body hcl.Body, schema *hcl.BodySchema) *hcl.BodyContent {
	content, diags := body.Content(schema)
	c.diags = append(c.diags, diags...)
	return content
}

// file reads the outermost blocks and gives the fleet's.
func (c *compiler) file(body hcl.Body) *scope {
	c.ctx = c.evalContext()
	content := c.content(body, fileSchema)
	locals := hcl.Attributes{}
	for _, b := range content.Blocks.OfType("locals") {
		attrs, diags := b.Body.JustAttributes()
		c.diags = append(c.diags, diags...)
		for name, a := range attrs {
			if locals[name] != nil {
				c.addError(
					a.NameRange,
					"A local given twice",
					fmt.Sprintf("%q has a value already. Drop one of them.", name),
				)
			}
			locals[name] = a
		}
	}
	if len(locals) > maxElements {
		c.addError(body.MissingItemRange(), "Too many locals", fmt.Sprintf("A policy has %d at most.", maxElements))
		return nil
	}
	c.evalLocals(locals)
	c.zone = c.clockZone(content.Attributes["clock"])
	c.defaultSettings = defaultCommon()
	for i, b := range content.Blocks.OfType("defaults") {
		if i > 0 {
			c.checkDuplicate(b, "")
			continue
		}
		c.defaults(b.Body)
	}
	for _, b := range content.Blocks.OfType("degrade") {
		c.degradeBlock(b)
	}
	fleets := content.Blocks.OfType("fleet")
	if len(fleets) == 0 {
		c.addError(
			body.MissingItemRange(),
			"No fleet",
			"A policy has one block `fleet { ... }`, in which all limits nest.",
		)
		return nil
	}
	for _, b := range fleets[1:] {
		c.checkDuplicate(b, "")
	}
	return c.scopeBlock(fleets[0], nil)
}

// checkDuplicate notes a block that is there already.
func (c *compiler) checkDuplicate(b *hcl.Block, name string) {
	if name != "" {
		name = fmt.Sprintf(" %q", name)
	}
	c.addError(
		b.DefRange,
		"The same block twice",
		fmt.Sprintf("There is a block `%s%s` in this place already, and two of them "+
			"would contradict each other. Put them together in one.", b.Type, name),
	)
}

// scopeBlock reads a scope's block and all within it.
func (c *compiler) scopeBlock(b *hcl.Block, up *scope) *scope {
	p := &scope{attribute: attributeNames[b.Type], source: b.DefRange, parent: up}
	if len(b.Labels) > 0 {
		p.value = b.Labels[0]
	}
	if c.scopes++; c.scopes > ratelimit.MaxLimits {
		if c.scopes == ratelimit.MaxLimits+1 {
			c.addError(
				b.DefRange,
				"Too many parts",
				fmt.Sprintf("A policy has %d at most. Let those with little to do share one "+
					"block with the name \"*\".", ratelimit.MaxLimits),
			)
		}
		return p
	}
	content := c.content(dynblock.Expand(b.Body, c.ctx), scopeSchema)
	c.scopeAttributes(p, content.Attributes)
	names := map[string]bool{}
	for _, inner := range content.Blocks {
		if unit, ok := units[inner.Type]; ok {
			if p.limits[unit] != nil {
				c.checkDuplicate(inner, "")
				continue
			}
			p.limits[unit] = c.limit(inner, unit)
			continue
		}
		if key := inner.Type + "/" + inner.Labels[0]; names[key] {
			c.checkDuplicate(inner, inner.Labels[0])
		} else {
			names[key] = true
			p.children = append(p.children, c.scopeBlock(inner, p))
		}
	}
	if up != nil && len(content.Attributes) == 0 && len(content.Blocks) == 0 {
		c.addError(
			b.DefRange,
			"A block that says nothing",
			"It changes nothing for any request. Give it a share, a limit or a "+
				"priority, or drop it.",
		)
	}
	return p
}

func (c *compiler) scopeAttributes(p *scope, attrs hcl.Attributes) {
	p.share, p.weight, p.borrow = c.fraction(attrs["share"]), c.amount(attrs["weight"]), c.flag(attrs["borrow"])
	if a := attrs["priority"]; a != nil {
		p.prioritySource = a.Expr.Range()
		switch word, ok := c.text(a); {
		case ok && word == "always":
			p.priority = 1
		case ok && word == "never":
			p.priority = -1
		case ok:
			c.addError(
				p.prioritySource,
				"Not a priority",
				fmt.Sprintf("%q is none: write \"always\" or \"never\", or leave it out and "+
					"the node judges by worth.", word),
			)
		}
	}
	if p.share != nil && p.parent == nil {
		c.addError(
			p.share.source,
			"A share of nothing",
			"Nothing is around the fleet that it could have a share of. Give its limits a rate.",
		)
	}
}

// path is a scope's name for messages.
func (p *scope) path() string {
	if p.parent == nil {
		return "fleet"
	}
	if p.parent.parent == nil {
		return p.attribute.String() + "/" + p.value
	}
	return p.parent.path() + "/" + p.attribute.String() + "/" + p.value
}
