// Package scale measures what control costs by size: hollow nodes and backends
// against the real programs, fits over the sizes, and the tables of the capacity page.
package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Record is one command's measurements, as the repository keeps them.
type Record struct {
	What    string `json:"what"`
	Label   string `json:"label"`  // before or after the mechanism
	Commit  string `json:"commit"` // of the programs that were measured
	Command string `json:"command"`
	Cores   int    `json:"cores"`
	// of the machine over a minute: the least and the most, at the beginnings and ends of runs
	Load   [2]float64 `json:"load"`
	Points []Point    `json:"points"`
}

// Point is the figures at one choice of sizes.
type Point struct {
	Sizes map[string]int `json:"sizes"`
	// how the programs differ from the commit; empty: not at all
	Trial   string            `json:"trial,omitempty"`
	Figures map[string]Spread `json:"figures"`
}

// Spread is a figure over its repetitions.
type Spread struct {
	Median float64 `json:"median"`
	Least  float64 `json:"least"`
	Most   float64 `json:"most"`
}

// The labels.
const (
	Before = "before"
	After  = "after"
)

func spreadOf(all []float64) Spread {
	slices.Sort(all)
	return Spread{round(all[len(all)/2]), round(all[0]), round(all[len(all)-1])}
}

// round keeps four digits: no figure here is truer than that.
func round(x float64) float64 {
	if x == 0 || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(math.Abs(x)))-3)
	if unit >= 1 {
		return math.Round(x/unit) * unit
	}
	return math.Round(x/unit) / math.Round(1/unit)
}

// repeated measures a point so many times and gives each figure's spread.
func repeated(times int, sizes map[string]int, one func() (map[string]float64, error)) (Point, error) {
	all := map[string][]float64{}
	for range times {
		figures, err := one()
		if err != nil {
			return Point{}, fmt.Errorf("at %v: %w", sizes, err)
		}
		for name, f := range figures {
			all[name] = append(all[name], f)
		}
	}
	p := Point{Sizes: sizes, Figures: map[string]Spread{}}
	for name, f := range all {
		p.Figures[name] = spreadOf(f)
	}
	return p, nil
}

// File is where a record is kept.
func (r Record) File(dir string) string {
	return filepath.Join(dir, r.What+"-"+r.Label+".json")
}

// Save keeps a record.
func (r Record) Save(dir string) error {
	points := r.Points
	r.Points = nil
	raw, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("the record of %s: %w", r.What, err)
	}
	raw = append(bytes.TrimSuffix(raw, []byte("null}")), '[')
	for i, p := range points { // one a line, so that a difference shows what was measured anew
		one, err := json.Marshal(p)
		if err != nil {
			return fmt.Errorf("the record of %s: %w", r.What, err)
		}
		if i > 0 {
			raw = append(raw, ',')
		}
		raw = append(append(raw, '\n'), one...)
	}
	raw = append(raw, "\n]}\n"...)
	if err := os.WriteFile(r.File(dir), raw, 0o644); err != nil {
		return fmt.Errorf("the record of %s: %w", r.What, err)
	}
	return nil
}

// Load reads all records of a folder, by what they are of and their label.
func Load(dir string) ([]Record, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	var all []Record
	for _, path := range files {
		r, err := read(path)
		if err != nil {
			return nil, err
		}
		if r.File(dir) != path {
			return nil, fmt.Errorf("%s: it is of %s, %s", path, r.What, r.Label)
		}
		all = append(all, r)
	}
	return all, nil
}

func read(path string) (r Record, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	in := json.NewDecoder(bytes.NewReader(raw))
	in.DisallowUnknownFields()
	if err := in.Decode(&r); err != nil {
		return r, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// Run says how a record comes about.
type Run struct {
	Dir     string // of the records
	Label   string
	Commit  string
	Trial   string
	Command string
	Repeat  int
}

// record puts what measure gives into a record: that of before, if it is of the same commit, else a new one.
func (run Run) record(what string, measure func() ([]Point, error)) error {
	r := Record{
		What:   what,
		Label:  run.Label,
		Commit: run.Commit,
		Cores:  cores(),
		Load:   [2]float64{math.Inf(1), 0},
	}
	if former, err := read(
		r.File(run.Dir),
	); err == nil && former.Commit == run.Commit &&
		former.Cores == r.Cores {
		r = former
	} else if err != nil &&
		!errors.Is(err, fs.ErrNotExist) {
		return err
	}
	r.Command = run.Command
	loads := []float64{r.Load[0], load()}
	points, err := measure()
	if err != nil {
		return fmt.Errorf("measuring %s: %w", what, err)
	}
	loads = append(loads, load())
	r.Load = [2]float64{slices.Min(loads), max(r.Load[1], loads[1], loads[2])}
	for _, p := range points {
		p.Trial = run.Trial
		r.Points = slices.DeleteFunc(r.Points, func(o Point) bool { return maps.Equal(o.Sizes, p.Sizes) })
		r.Points = append(r.Points, p)
	}
	return r.Save(run.Dir)
}

// String is a line about a point.
func (p Point) String() string {
	var s strings.Builder
	for _, k := range sorted(p.Sizes) {
		fmt.Fprintf(&s, "%s=%d ", k, p.Sizes[k])
	}
	for _, k := range sorted(p.Figures) {
		fmt.Fprintf(&s, " %s %.4g", k, p.Figures[k].Median)
	}
	return s.String()
}

func seconds(d time.Duration) float64 { return d.Seconds() }
