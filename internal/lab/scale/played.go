package scale

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// playedPoint is the largest point of a fault's record. Without a record its texts say that the fault was
// not run.
type playedPoint struct {
	point  Point
	has    bool
	prefix string // of the names of its figures
}

// largestPoint finds the point of a record with the greatest product of its sizes.
func (m labelRecords) largestPoint(what string) (p playedPoint) {
	r, has := m.byName[what]
	if !has {
		return p
	}
	product := func(p Point) float64 {
		all := 1.0
		for _, n := range p.Sizes {
			all *= float64(max(1, n))
		}
		return all
	}
	return playedPoint{
		point: slices.MaxFunc(r.Points, func(a, b Point) int { return cmp.Compare(product(a), product(b)) }),
		has:   true,
	}
}

// sizeLabels are the labels of a point's sizes, in the order in which the page lists them.
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

// sizes lists the point's sizes with their labels.
func (p playedPoint) sizes() string {
	if !p.has {
		return notRun
	}
	var all []string
	for _, w := range sizeLabels {
		if n, sized := p.point.Sizes[w[0]]; sized {
			all = append(all, formatNumber(float64(n))+" "+w[1])
		}
	}
	text := strings.Join(all, ", ")
	if p.point.Trial != "" {
		text += " (trial)"
	}
	return text
}

// figureName matches a placeholder of a figure in a sentence; the suffix :share has it written as a
// percentage.
var figureName = regexp.MustCompile(`\{([a-z_0-9]+)(:share)?\}`)

// fillIn replaces the placeholders of a sentence by figures. The name of a figure gives its unit; times
// come with their spread.
func (p playedPoint) fillIn(sentence string) string {
	if !p.has {
		return notRun
	}
	return figureName.ReplaceAllStringFunc(sentence, func(name string) string {
		name, isShare := strings.CutSuffix(strings.Trim(name, "{}"), ":share")
		f, there := p.point.Figures[p.prefix+name]
		unit := ""
		switch {
		case !there:
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
		if unit == "s" && f.Least != f.Most {
			text += fmt.Sprintf(" (%s to %s)", formatFigure(f.Least, unit), formatFigure(f.Most, unit))
		}
		return text
	})
}

// atNode gives a node's use in the worst second if it was sampled, else its use over the complete play.
func (p playedPoint) atNode() string {
	if _, peaked := p.point.Figures[p.prefix+"node_peak_cores"]; peaked {
		return p.fillIn("{node_peak_cores}, {node_peak_bytes} in, in the worst second; {node_memory_bytes}")
	}
	return p.fillIn("in all {node_cpu_s} of processor, {node_bytes_in} in, {node_bytes_kept} kept")
}

// atReplica gives the same figures as atNode for the replica.
func (p playedPoint) atReplica() string {
	if _, peaked := p.point.Figures[p.prefix+"replica_peak_cores"]; peaked {
		return p.fillIn(
			"{replica_peak_cores}, {replica_peak_bytes} out, in the worst second; {replica_memory_bytes}",
		)
	}
	return p.fillIn("in all {replica_cpu_s} of processor, {replica_bytes_out} out")
}

// harmed is the share of requests due during a fault that the fault harmed, in the small lab.
func (p playedPoint) harmed() string {
	if !p.has {
		return notRun
	}
	f := p.point.Figures["harmed_share"]
	return fmt.Sprintf(
		"%s (%s to %s) of those due meanwhile, at %s: ",
		formatPercent(f.Median),
		formatPercent(f.Least),
		formatPercent(f.Most),
		p.sizes(),
	) +
		p.fillIn(
			"{failed_share:share} failed, {refused_share:share} refused, {late_share:share} late; without the fault {spared_share:share} are not in time",
		)
}
