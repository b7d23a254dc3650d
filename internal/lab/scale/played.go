package scale

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// play is the largest point of a fault's record; without one all that it tells is that it was not run.
type play struct {
	point  Point
	has    bool
	prefix string // of its figures
}

// play finds the point with the most of everything, by the product of its sizes.
func (m measured) play(what string) (p play) {
	r, has := m.of[what]
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
	return play{
		point: slices.MaxFunc(r.Points, func(a, b Point) int { return cmp.Compare(product(a), product(b)) }),
		has:   true,
	}
}

// sizeWords are what a play's sizes are called, in the order in which they are told.
var sizeWords = [][2]string{
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

func (p play) sizes() string {
	if !p.has {
		return notRun
	}
	var all []string
	for _, w := range sizeWords {
		if n, sized := p.point.Sizes[w[0]]; sized {
			all = append(all, number(float64(n))+" "+w[1])
		}
	}
	text := strings.Join(all, ", ")
	if p.point.Trial != "" {
		text += " (trial)"
	}
	return text
}

var figureName = regexp.MustCompile(`\{([a-z_0-9]+)(:share)?\}`)

// say fills figures into a sentence, each with its unit by its name, and times with their spread.
func (p play) say(sentence string) string {
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
			return percent(f.Median)
		case strings.Contains(name, "bytes"):
			unit = "bytes"
		case strings.HasSuffix(name, "cores"):
			unit = "cores"
		case strings.HasSuffix(name, "_s") && !strings.HasSuffix(name, "_per_s"):
			unit = "s"
		}
		text := strings.TrimSpace(shown(f.Median, unit))
		if unit == "s" && f.Least != f.Most {
			text += fmt.Sprintf(" (%s to %s)", shown(f.Least, unit), shown(f.Most, unit))
		}
		return text
	})
}

// atNode tells the worst second where it was looked for, else what it was in all.
func (p play) atNode() string {
	if _, peaked := p.point.Figures[p.prefix+"node_peak_cores"]; peaked {
		return p.say("{node_peak_cores}, {node_peak_bytes} in, in the worst second; {node_memory_bytes}")
	}
	return p.say("in all {node_cpu_s} of processor, {node_bytes_in} in, {node_bytes_kept} kept")
}

func (p play) atReplica() string {
	if _, peaked := p.point.Figures[p.prefix+"replica_peak_cores"]; peaked {
		return p.say("{replica_peak_cores}, {replica_peak_bytes} out, in the worst second; {replica_memory_bytes}")
	}
	return p.say("in all {replica_cpu_s} of processor, {replica_bytes_out} out")
}

// harmed is the share of requests due during a fault that it harmed, in the small lab.
func (p play) harmed() string {
	if !p.has {
		return notRun
	}
	f := p.point.Figures["harmed_share"]
	return fmt.Sprintf(
		"%s (%s to %s) of those due meanwhile, at %s: ",
		percent(f.Median),
		percent(f.Least),
		percent(f.Most),
		p.sizes(),
	) +
		p.say(
			"{failed_share:share} failed, {refused_share:share} refused, {late_share:share} late; without the fault {spared_share:share} are not in time",
		)
}
