package scale

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// faultPoint is the point with the largest sizes in a fault's record. Without a record, its texts say that
// the fault was not run.
type faultPoint struct {
	point  Point
	has    bool
	prefix string // prefix of the names of the figures that the texts use
}

// largestPoint returns the point of a record with the greatest product of its sizes.
func (m labelRecords) largestPoint(measurement string) (p faultPoint) {
	r, has := m.byName[measurement]
	if !has {
		return p
	}
	product := func(p Point) float64 {
		total := 1.0
		for _, n := range p.Sizes {
			total *= float64(max(1, n))
		}
		return total
	}
	return faultPoint{
		point: slices.MaxFunc(r.Points, func(a, b Point) int { return cmp.Compare(product(a), product(b)) }),
		has:   true,
	}
}

// sizeLabels holds the names of a point's sizes and their labels, in the order in which the page lists them.
var sizeLabels = [][2]string{
	{"backends", "backends"},
	{"nodes", "nodes"},
	{"boxes", "boxes"},
	{"beside", "more nodes that go or restart"},
	{"members", "members"},
	{"watchers", "watchers"},
	{"entries", "entries"},
	{"restarts_per_h", "restarts an hour"},
	{"cut_s", "s apart"},
}

// sizes returns the text of the point's sizes with their labels.
func (p faultPoint) sizes() string {
	if !p.has {
		return notRun
	}
	var texts []string
	for _, nameAndLabel := range sizeLabels {
		if n, has := p.point.Sizes[nameAndLabel[0]]; has {
			texts = append(texts, formatNumber(float64(n))+" "+nameAndLabel[1])
		}
	}
	text := strings.Join(texts, ", ")
	if p.point.Trial != "" {
		text += " (trial)"
	}
	return text
}

// figurePlaceholder matches the placeholder of a figure in a sentence. The suffix :share formats the figure
// as a percentage.
var figurePlaceholder = regexp.MustCompile(`\{([a-z_0-9]+)(:share)?\}`)

// fillIn replaces the placeholders of a sentence by figures. The unit of a figure follows from its name.
// Times are given with their spread.
func (p faultPoint) fillIn(sentence string) string {
	if !p.has {
		return notRun
	}
	return figurePlaceholder.ReplaceAllStringFunc(sentence, func(name string) string {
		name, isShare := strings.CutSuffix(strings.Trim(name, "{}"), ":share")
		f, has := p.point.Figures[p.prefix+name]
		unit := ""
		switch {
		case !has:
			return notRun
		case isShare:
			return formatPercent(f.Median)
		case strings.Contains(name, "bytes"):
			unit = "bytes"
		case strings.HasSuffix(name, "cores"):
			unit = "cores"
		case strings.HasSuffix(name, "_s") && !strings.HasSuffix(name, "_per_s"):
			unit = "s"
		}
		text := strings.TrimSpace(formatFigure(f.Median, unit))
		if unit == "s" && f.Min != f.Max {
			text += fmt.Sprintf(" (%s to %s)", formatFigure(f.Min, unit), formatFigure(f.Max, unit))
		}
		return text
	})
}

// atNode returns the text of what a node used in its worst second if that was sampled, otherwise over the
// complete fault.
func (p faultPoint) atNode() string {
	if _, peaked := p.point.Figures[p.prefix+"node_peak_cores"]; peaked {
		return p.fillIn("{node_peak_cores}, {node_peak_bytes} in, in the worst second; {node_memory_bytes}")
	}
	return p.fillIn("in all {node_cpu_s} of processor, {node_bytes_in} in, {node_bytes_kept} kept")
}

// atReplica returns the same text as atNode for the replica.
func (p faultPoint) atReplica() string {
	if _, peaked := p.point.Figures[p.prefix+"replica_peak_cores"]; peaked {
		return p.fillIn(
			"{replica_peak_cores}, {replica_peak_bytes} out, in the worst second; {replica_memory_bytes}",
		)
	}
	return p.fillIn("in all {replica_cpu_s} of processor, {replica_bytes_out} out")
}

// harmed returns the text of the share of the requests due during a fault that the fault harmed, as measured
// in an experiment of the lab.
func (p faultPoint) harmed() string {
	if !p.has {
		return notRun
	}
	f := p.point.Figures["harmed_share"]
	return fmt.Sprintf(
		"%s (%s to %s) of those due meanwhile, at %s: ",
		formatPercent(f.Median),
		formatPercent(f.Min),
		formatPercent(f.Max),
		p.sizes(),
	) +
		p.fillIn(
			"{failed_share:share} failed, {refused_share:share} refused, {late_share:share} late; without the fault {spared_share:share} are not in time",
		)
}
