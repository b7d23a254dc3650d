package policy

import (
	"fmt"
	"maps"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/ext/dynblock"

	"wrenspread/ratelimit"
)

// part is a block that stands for a part of the requests.
type part struct {
	axis     ratelimit.Attribute
	word     string
	at       hcl.Range // of its first line
	up       *part
	children []*part
	limits   [ratelimit.UnitPerKey + 1]*limit

	share, weight *given // for its limits that say none
	borrow        *yesNo
	priority      int
	priorityAt    hcl.Range
}

var axes = map[string]ratelimit.Attribute{
	"site": ratelimit.AttributeSite, "book": ratelimit.AttributeTenant, "class": ratelimit.AttributeClass, "pod": ratelimit.AttributeCell,
}

var units = map[string]ratelimit.Unit{
	"requests": ratelimit.UnitRequests, "work": ratelimit.UnitWork, "open": ratelimit.UnitConcurrency, "repeats": ratelimit.UnitRetries,
	"key": ratelimit.UnitPerKey,
}

var fileSchema = &hcl.BodySchema{
	Attributes: attributes("clock"),
	Blocks: []hcl.BlockHeaderSchema{{Type: "locals"}, {Type: "defaults"}, {Type: "fleet"},
		{Type: "degrade", LabelNames: []string{"name"}}},
}

var partSchema = &hcl.BodySchema{
	Attributes: attributes("share", "weight", "borrow", "priority"),
	Blocks:     partBlocks(),
}

func attributes(names ...string) (list []hcl.AttributeSchema) {
	for _, n := range names {
		list = append(list, hcl.AttributeSchema{Name: n})
	}
	return list
}

func partBlocks() (list []hcl.BlockHeaderSchema) {
	for _, name := range slices.Sorted(maps.Keys(axes)) {
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
func (c *compiler) file(body hcl.Body) *part {
	c.ctx = c.surroundings()
	content := c.content(body, fileSchema)
	locals := hcl.Attributes{}
	for _, b := range content.Blocks.OfType("locals") {
		attrs, diags := b.Body.JustAttributes()
		c.diags = append(c.diags, diags...)
		for name, a := range attrs {
			if locals[name] != nil {
				c.fail(a.NameRange, "A local given twice", fmt.Sprintf("%q has a value already. Drop one of them.", name))
			}
			locals[name] = a
		}
	}
	if len(locals) > mostElements {
		c.fail(body.MissingItemRange(), "Too many locals", fmt.Sprintf("A policy has %d at most.", mostElements))
		return nil
	}
	c.locals(locals)
	c.zone = c.clockZone(content.Attributes["clock"])
	c.usual = usualFigures()
	for i, b := range content.Blocks.OfType("defaults") {
		if i > 0 {
			c.twice(b, "")
			continue
		}
		c.defaults(b.Body)
	}
	for _, b := range content.Blocks.OfType("degrade") {
		c.degrade(b)
	}
	fleets := content.Blocks.OfType("fleet")
	if len(fleets) == 0 {
		c.fail(body.MissingItemRange(), "No fleet", "A policy has one block `fleet { ... }`, in which all limits nest.")
		return nil
	}
	for _, b := range fleets[1:] {
		c.twice(b, "")
	}
	return c.part(fleets[0], nil)
}

// twice notes a block that is there already.
func (c *compiler) twice(b *hcl.Block, name string) {
	if name != "" {
		name = fmt.Sprintf(" %q", name)
	}
	c.fail(b.DefRange, "The same block twice", fmt.Sprintf("There is a block `%s%s` in this place already, and two of them "+
		"would contradict each other. Put them together in one.", b.Type, name))
}

// part reads a part's block and all within it.
func (c *compiler) part(b *hcl.Block, up *part) *part {
	p := &part{axis: axes[b.Type], at: b.DefRange, up: up}
	if len(b.Labels) > 0 {
		p.word = b.Labels[0]
	}
	if c.parts++; c.parts > ratelimit.MaxLimits {
		if c.parts == ratelimit.MaxLimits+1 {
			c.fail(b.DefRange, "Too many parts", fmt.Sprintf("A policy has %d at most. Let those with little to do share one "+
				"block with the name \"*\".", ratelimit.MaxLimits))
		}
		return p
	}
	content := c.content(dynblock.Expand(b.Body, c.ctx), partSchema)
	c.partAttributes(p, content.Attributes)
	names := map[string]bool{}
	for _, inner := range content.Blocks {
		if unit, ok := units[inner.Type]; ok {
			if p.limits[unit] != nil {
				c.twice(inner, "")
				continue
			}
			p.limits[unit] = c.limit(inner, unit)
			continue
		}
		if key := inner.Type + "/" + inner.Labels[0]; names[key] {
			c.twice(inner, inner.Labels[0])
		} else {
			names[key] = true
			p.children = append(p.children, c.part(inner, p))
		}
	}
	if up != nil && len(content.Attributes) == 0 && len(content.Blocks) == 0 {
		c.fail(b.DefRange, "A block that says nothing", "It changes nothing for any request. Give it a share, a limit or a "+
			"priority, or drop it.")
	}
	return p
}

func (c *compiler) partAttributes(p *part, attrs hcl.Attributes) {
	p.share, p.weight, p.borrow = c.fraction(attrs["share"]), c.amount(attrs["weight"]), c.flag(attrs["borrow"])
	if a := attrs["priority"]; a != nil {
		p.priorityAt = a.Expr.Range()
		switch word, ok := c.text(a); {
		case ok && word == "always":
			p.priority = 1
		case ok && word == "never":
			p.priority = -1
		case ok:
			c.fail(p.priorityAt, "Not a priority", fmt.Sprintf("%q is none: write \"always\" or \"never\", or leave it out and "+
				"the node judges by worth.", word))
		}
	}
	if p.share != nil && p.up == nil {
		c.fail(p.share.at, "A share of nothing", "Nothing is around the fleet that it could have a share of. Give its limits a rate.")
	}
}

// path is a part's name for people.
func (p *part) path() string {
	if p.up == nil {
		return "fleet"
	}
	if p.up.up == nil {
		return p.axis.String() + "/" + p.word
	}
	return p.up.path() + "/" + p.axis.String() + "/" + p.word
}
