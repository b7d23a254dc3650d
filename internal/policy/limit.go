package policy

import (
	"fmt"
	"time"

	"github.com/hashicorp/hcl/v2"

	"wrenspread/ratelimit"
)

// policyLimit is a block that limits a scope in one unit. Its rates are computed from raw after those of the
// outer limit.
type policyLimit struct {
	limitSettings
	unit     ratelimit.Unit
	source   hcl.Range
	raw      rawRates
	schedule []scheduleEntry
	keySlots int

	rates   ratelimit.Rates
	windows []ratelimit.ScheduleWindow
	invalid bool // no rates could be computed, because this limit or one that it refers to is faulty
}

// limitSettings are the settings of a limit that a `defaults` block can set as well.
type limitSettings struct {
	fallbackShare, priorityReserve float64
	status                         int
	retryAfter                     time.Duration
	reserveSource                  hcl.Range
}

// rawRates are the rates of a limit as the policy sets them. A fraction or a share is relative to another
// limit; see resolveLimit. What the policy does not set is nil.
type rawRates struct {
	rate, fraction, floor, share, burst *number
	weight                              *number
	borrow                              *boolean
	invalid                             bool // a value is set but faulty
}

// scheduleEntry is an `at` block: rates that replace those of the limit while a window of time is in force.
type scheduleEntry struct {
	raw    rawRates
	window ratelimit.ScheduleWindow
	source hcl.Range
}

// Settings of limits for which a policy has no value.
const (
	defaultFallbackShare = 0.25 // safe while three quarters are leased to proxies: see docs/quota-design.md
	defaultRetryAfter    = time.Second
	defaultKeySlots      = 256
)

// builtInSettings returns the settings of limits in a policy without a `defaults` block.
func builtInSettings() limitSettings {
	return limitSettings{fallbackShare: defaultFallbackShare, status: 429, retryAfter: defaultRetryAfter}
}

var (
	defaultsSchema = &hcl.BodySchema{Attributes: optionalAttributes("safe", "reserve", "status", "wait")}
	limitSchema    = &hcl.BodySchema{
		Attributes: append(
			optionalAttributes("rate", "most", "part", "floor", "share", "burst", "weight", "borrow", "slots"),
			defaultsSchema.Attributes...),
		Blocks: []hcl.BlockHeaderSchema{{Type: "at"}},
	}
	atSchema = &hcl.BodySchema{
		Attributes: optionalAttributes(
			"from", "to", "last_days", "rate", "most", "part", "floor", "share", "burst"),
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

// defaultsBlock reads a `defaults` block.
func (c *compiler) defaultsBlock(body hcl.Body) {
	c.readSettings(&c.defaultSettings, c.content(body, defaultsSchema).Attributes)
}

// readSettings reads the attributes that `defaults` blocks and limits have in common. Attributes that are not
// set leave the settings unchanged.
func (c *compiler) readSettings(settings *limitSettings, attrs hcl.Attributes) {
	if g := c.fraction(attrs["safe"]); g != nil {
		if settings.fallbackShare = g.value; g.value == 0 {
			c.addError(
				g.source,
				"No requests without a lease",
				"A node without a lease would refuse all requests. Set safe above 0, such as percent(25).",
			)
		}
	}
	if g := c.fraction(attrs["reserve"]); g != nil {
		if settings.priorityReserve, settings.reserveSource = g.value, g.source; g.value == 1 {
			c.addError(
				g.source,
				"Reserve of the whole limit",
				"Requests without priority would never be admitted. Set reserve to percent(99) at most.",
			)
		}
	}
	if n, ok := c.status(attrs["status"]); ok {
		settings.status = n
	}
	if d, ok := c.duration(attrs["wait"]); ok {
		settings.retryAfter = d
	}
}

// limitBlock reads the block of a limit in a unit. resolveLimit computes its rates later.
func (c *compiler) limitBlock(block *hcl.Block, unit ratelimit.Unit) *policyLimit {
	limit := &policyLimit{limitSettings: c.defaultSettings, unit: unit, source: block.DefRange}
	content := c.content(block.Body, limitSchema)
	c.readSettings(&limit.limitSettings, content.Attributes)
	limit.raw = c.readRawRates(content.Attributes, unit)
	limit.raw.weight, limit.raw.borrow = c.amount(content.Attributes["weight"]),
		c.flag(content.Attributes["borrow"])
	if weight := limit.raw.weight; weight != nil && weight.value == 0 {
		c.addError(weight.source, "Weight of 0", "The limit would have only its floor. Set borrow = false instead.")
	}
	if a := content.Attributes["slots"]; unit == ratelimit.UnitPerKey {
		if limit.keySlots = defaultKeySlots; a != nil {
			limit.keySlots, _ = c.integer(a, 1, ratelimit.MaxKeySlots)
		}
	} else if a != nil {
		c.addError(a.NameRange, "Wrong attribute", "Only a `key` block has slots, over which keys are spread.")
	}
	for _, inner := range content.Blocks {
		limit.schedule = append(limit.schedule, c.scheduleBlock(inner, unit))
	}
	if len(limit.schedule) > ratelimit.MaxWindows {
		c.addError(
			limit.schedule[ratelimit.MaxWindows].source,
			"Too many times",
			fmt.Sprintf("A limit can have %d `at` blocks at most.", ratelimit.MaxWindows),
		)
	}
	return limit
}

// readRawRates reads the rates of a limit or of an `at` block and reports those that do not apply to the unit
// and those that contradict each other.
func (c *compiler) readRawRates(attrs hcl.Attributes, unit ratelimit.Unit) rawRates {
	raw := rawRates{
		rate:     c.amount(attrs["rate"]),
		fraction: c.fraction(attrs["part"]),
		floor:    c.amount(attrs["floor"]),
		share:    c.fraction(attrs["share"]),
		burst:    c.amount(attrs["burst"]),
	}
	most := attrs["most"]
	switch {
	case unit == ratelimit.UnitConcurrency && attrs["rate"] != nil:
		c.addError(
			attrs["rate"].NameRange,
			"Wrong attribute",
			"An `open` block limits the number of open requests, not a rate per second. Write most instead.",
		)
	case unit == ratelimit.UnitConcurrency && attrs["burst"] != nil:
		c.addError(
			attrs["burst"].NameRange,
			"Wrong attribute",
			"An `open` block limits the number of open requests, which has no burst. Write only most.",
		)
	case unit == ratelimit.UnitConcurrency:
		raw.rate = c.amount(most)
	case most != nil:
		c.addError(
			most.NameRange,
			"Wrong attribute",
			"Only an `open` block has most. This block limits a rate per second: write rate and burst.",
		)
	}
	rateInvalid := (attrs["rate"] != nil || attrs["most"] != nil) && raw.rate == nil
	fractionInvalid := attrs["part"] != nil && raw.fraction == nil
	floorInvalid := attrs["floor"] != nil && raw.floor == nil || attrs["share"] != nil && raw.share == nil
	burstInvalid := attrs["burst"] != nil && raw.burst == nil
	raw.invalid = rateInvalid || fractionInvalid || floorInvalid || burstInvalid
	c.rejectBoth(attrs, "rate", "part")
	c.rejectBoth(attrs, "most", "part")
	c.rejectBoth(attrs, "floor", "share")
	return raw
}

// rejectBoth reports two attributes that set the same value, if both are present.
func (c *compiler) rejectBoth(attrs hcl.Attributes, a, b string) {
	if attrs[a] != nil && attrs[b] != nil {
		c.addError(
			attrs[b].Range,
			"Value set twice",
			fmt.Sprintf("%s and %s set the same value. "+
				"Keep one of them.", b, a),
		)
	}
}

// scheduleBlock reads an `at` block of a limit in a unit.
func (c *compiler) scheduleBlock(block *hcl.Block, unit ratelimit.Unit) scheduleEntry {
	attrs := c.content(block.Body, atSchema).Attributes
	entry := scheduleEntry{raw: c.readRawRates(attrs, unit), source: block.DefRange}
	if (attrs["from"] == nil) != (attrs["to"] == nil) {
		c.addError(block.DefRange, "Incomplete time",
			"Set both `from` and `to`, such as from = \"22:00\", to = \"06:00\".")
	}
	var begins, ends bool
	entry.window.FromMinute, begins = c.minute(attrs["from"])
	entry.window.ToMinute, ends = c.minute(attrs["to"])
	entry.window.LastDays, _ = c.integer(attrs["last_days"], 1, 31)
	if begins && ends && entry.window.FromMinute == entry.window.ToMinute {
		c.addError(
			attrs["from"].Range,
			"Empty time",
			"`from` and `to` are equal. For the whole day, leave out both.",
		)
	}
	if attrs["from"] == nil && attrs["to"] == nil && attrs["last_days"] == nil {
		c.addError(block.DefRange, "Missing time", "Set from and to as times of day, or last_days of the month.")
	}
	if entry.raw == (rawRates{}) {
		c.addError(block.DefRange, "Time without a change", "Set another rate, floor or burst for this time.")
	}
	return entry
}
