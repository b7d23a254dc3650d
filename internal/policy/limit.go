package policy

import (
	"fmt"
	"time"

	"github.com/hashicorp/hcl/v2"

	"wrenspread/ratelimit"
)

// limit is a block that bounds a scope in one unit. Its figures are computed from raw when the limit around
// it is known.
type limit struct {
	settings
	unit     ratelimit.Unit
	source   hcl.Range
	raw      rawRates
	schedule []scheduleEntry
	slots    int

	rates   ratelimit.Rates
	windows []ratelimit.ScheduleWindow
	broken  bool // it has no figures, as it or one that it goes by is wrong
}

// settings is what defaults can give as well.
type settings struct {
	fallbackShare, reserve float64
	status                 int
	retryAfter             time.Duration
	reserveAt              hcl.Range
}

// rawRates are figures as the text gives them: by themselves, or as parts of the limit around.
type rawRates struct {
	rate, fraction, floor, share, burst *number
	weight                              *number
	borrow                              *boolean
	broken                              bool // something is given that is none
}

// scheduleEntry is an `at` block.
type scheduleEntry struct {
	raw    rawRates
	window ratelimit.ScheduleWindow
	source hcl.Range
}

// What holds where a policy says nothing.
const (
	defaultFallbackShare = 0.25 // a quarter is safe with the other three lent out: see docs/quota-design.md
	defaultRetryAfter    = time.Second
	defaultKeySlots      = 256
)

func defaultCommon() settings {
	return settings{fallbackShare: defaultFallbackShare, status: 429, retryAfter: defaultRetryAfter}
}

var (
	defaultsSchema = &hcl.BodySchema{Attributes: attributes("safe", "reserve", "status", "wait")}
	limitSchema    = &hcl.BodySchema{
		Attributes: append(
			attributes("rate", "most", "part", "floor", "share", "burst", "weight", "borrow", "slots"),
			defaultsSchema.Attributes...),
		Blocks: []hcl.BlockHeaderSchema{{Type: "at"}},
	}
	atSchema = &hcl.BodySchema{
		Attributes: attributes("from", "to", "last_days", "rate", "most", "part", "floor", "share", "burst"),
	}
	degradeSchema = &hcl.BodySchema{
		Attributes: []hcl.AttributeSchema{
			{Name: "above", Required: true},
			{Name: "below"},
			{Name: "refuse", Required: true},
			{Name: "status"},
			{Name: "wait"},
		},
	}
)

func (c *compiler) defaults(body hcl.Body) {
	c.commonSettings(&c.defaultSettings, c.content(body, defaultsSchema).Attributes)
}

func (c *compiler) commonSettings(f *settings, attrs hcl.Attributes) {
	if g := c.fraction(attrs["safe"]); g != nil {
		if f.fallbackShare = g.value; g.value == 0 {
			c.addError(
				g.source,
				"Nothing is safe",
				"A node without a lease would refuse everything. Give it a part above 0, such as percent(25).",
			)
		}
	}
	if g := c.fraction(attrs["reserve"]); g != nil {
		if f.reserve, f.reserveAt = g.value, g.source; g.value == 1 {
			c.addError(
				g.source,
				"All of it in reserve",
				"Requests without priority would never get in. Leave them a part: percent(99) at most.",
			)
		}
	}
	if n, ok := c.status(attrs["status"]); ok {
		f.status = n
	}
	if d, ok := c.duration(attrs["wait"]); ok {
		f.retryAfter = d
	}
}

func (c *compiler) limit(b *hcl.Block, u ratelimit.Unit) *limit {
	l := &limit{settings: c.defaultSettings, unit: u, source: b.DefRange}
	content := c.content(b.Body, limitSchema)
	c.commonSettings(&l.settings, content.Attributes)
	l.raw = c.rawRates(content.Attributes, u)
	l.raw.weight, l.raw.borrow = c.amount(content.Attributes["weight"]), c.flag(content.Attributes["borrow"])
	if w := l.raw.weight; w != nil && w.value == 0 {
		c.addError(w.source, "No weight", "It would get nothing beyond its floor: say so with borrow = false.")
	}
	if a := content.Attributes["slots"]; u == ratelimit.UnitPerKey {
		if l.slots = defaultKeySlots; a != nil {
			l.slots, _ = c.integer(a, 1, ratelimit.MaxKeySlots)
		}
	} else if a != nil {
		c.addError(a.NameRange, "An odd unit", "Only a `key` block has slots, over which keys are spread.")
	}
	for _, inner := range content.Blocks {
		l.schedule = append(l.schedule, c.scheduleBlock(inner, u))
	}
	if len(l.schedule) > ratelimit.MaxWindows {
		c.addError(
			l.schedule[ratelimit.MaxWindows].source,
			"Too many times",
			fmt.Sprintf("A limit has %d `at` blocks at most.", ratelimit.MaxWindows),
		)
	}
	return l
}

func (c *compiler) rawRates(attrs hcl.Attributes, u ratelimit.Unit) rawRates {
	r := rawRates{
		rate:     c.amount(attrs["rate"]),
		fraction: c.fraction(attrs["part"]),
		floor:    c.amount(attrs["floor"]),
		share:    c.fraction(attrs["share"]),
		burst:    c.amount(attrs["burst"]),
	}
	most := attrs["most"]
	switch {
	case u == ratelimit.UnitConcurrency && attrs["rate"] != nil:
		c.addError(
			attrs["rate"].NameRange,
			"An odd unit",
			"Open requests are counted, not by the second. Write most = how many at once.",
		)
	case u == ratelimit.UnitConcurrency && attrs["burst"] != nil:
		c.addError(
			attrs["burst"].NameRange,
			"An odd unit",
			"Open requests have no burst: `most` is all that there is.",
		)
	case u == ratelimit.UnitConcurrency:
		r.rate = c.amount(most)
	case most != nil:
		c.addError(
			most.NameRange,
			"An odd unit",
			"`most` counts open requests. This goes by the second: write rate, and burst.",
		)
	}
	rateBroken := (attrs["rate"] != nil || attrs["most"] != nil) && r.rate == nil
	fractionBroken := attrs["part"] != nil && r.fraction == nil
	floorBroken := attrs["floor"] != nil && r.floor == nil || attrs["share"] != nil && r.share == nil
	burstBroken := attrs["burst"] != nil && r.burst == nil
	r.broken = rateBroken || fractionBroken || floorBroken || burstBroken
	c.exclusive(attrs, "rate", "part")
	c.exclusive(attrs, "most", "part")
	c.exclusive(attrs, "floor", "share")
	return r
}

// exclusive notes two attributes that would say the same thing twice.
func (c *compiler) exclusive(attrs hcl.Attributes, a, b string) {
	if attrs[a] != nil && attrs[b] != nil {
		c.addError(
			attrs[b].Range,
			"Two figures for one thing",
			fmt.Sprintf("%s is given as %s as well, which contradicts it. "+
				"Keep one of them.", b, a),
		)
	}
}

func (c *compiler) scheduleBlock(b *hcl.Block, u ratelimit.Unit) scheduleEntry {
	attrs := c.content(b.Body, atSchema).Attributes
	t := scheduleEntry{raw: c.rawRates(attrs, u), source: b.DefRange}
	if (attrs["from"] == nil) != (attrs["to"] == nil) {
		c.addError(b.DefRange, "Half a time", "`from` and `to` come together: from = \"22:00\", to = \"06:00\".")
	}
	var begins, ends bool
	t.window.FromMinute, begins = c.minute(attrs["from"])
	t.window.ToMinute, ends = c.minute(attrs["to"])
	t.window.LastDays, _ = c.integer(attrs["last_days"], 1, 31)
	if begins && ends && t.window.FromMinute == t.window.ToMinute {
		c.addError(
			attrs["from"].Range,
			"A time that never comes",
			"It ends as it begins. For all day leave out `from` and `to`.",
		)
	}
	if attrs["from"] == nil && attrs["to"] == nil && attrs["last_days"] == nil {
		c.addError(b.DefRange, "No time", "Say when: from and to as times of day, or last_days of the month.")
	}
	if t.raw == (rawRates{}) {
		c.addError(b.DefRange, "A time that changes nothing", "Give it other figures: rate, floor or burst.")
	}
	return t
}
