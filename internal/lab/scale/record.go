// Package scale measures what control costs by the size of a fleet. It runs hollow nodes and backends against
// the real programs, fits the costs over the sizes, and makes the tables of the capacity page.
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

// Record is the measurements of one command, as they are stored in the repository.
type Record struct {
	What    string `json:"what"`
	Label   string `json:"label"`  // whether measured before or after the mechanism
	Commit  string `json:"commit"` // commit of the programs that were measured
	Command string `json:"command"`
	Cores   int    `json:"cores"`
	// Load is the machine's load average over a minute: the least and the most at the starts and ends of runs.
	Load   [2]float64 `json:"load"`
	Points []Point    `json:"points"`
}

// Point is the figures at one choice of sizes.
type Point struct {
	Sizes map[string]int `json:"sizes"`
	// Trial says how the programs differ from the commit; empty: they do not.
	Trial   string            `json:"trial,omitempty"`
	Figures map[string]Spread `json:"figures"`
}

// Spread is the median, the least and the most of a figure over its repetitions.
type Spread struct {
	Median float64 `json:"median"`
	Least  float64 `json:"least"`
	Most   float64 `json:"most"`
}

// Labels of records: measured before or after the mechanism.
const (
	Before = "before"
	After  = "after"
)

// spreadOf is the spread of values, each rounded to four digits; it sorts the slice.
func spreadOf(all []float64) Spread {
	slices.Sort(all)
	return Spread{
		roundToFourDigits(all[len(all)/2]), roundToFourDigits(all[0]), roundToFourDigits(all[len(all)-1]),
	}
}

// roundToFourDigits rounds to four digits, as no figure here is more exact; it returns 0 for NaN and
// infinities.
func roundToFourDigits(x float64) float64 {
	if x == 0 || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(math.Abs(x)))-3)
	if unit >= 1 {
		return math.Round(x/unit) * unit
	}
	return math.Round(x/unit) / math.Round(1/unit)
}

// repeated measures a point the given number of times and returns the spread of each figure.
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

// File is the path of a record's file in a folder.
func (r Record) File(dir string) string {
	return filepath.Join(dir, r.What+"-"+r.Label+".json")
}

// Save writes a record to its file in a folder.
func (r Record) Save(dir string) error {
	points := r.Points
	r.Points = nil
	raw, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("save the record of %s: %w", r.What, err)
	}
	raw = append(bytes.TrimSuffix(raw, []byte("null}")), '[')
	for i, p := range points { // one per line, so that a diff shows which points were measured again
		one, err := json.Marshal(p)
		if err != nil {
			return fmt.Errorf("save the record of %s: %w", r.What, err)
		}
		if i > 0 {
			raw = append(raw, ',')
		}
		raw = append(append(raw, '\n'), one...)
	}
	raw = append(raw, "\n]}\n"...)
	if err := os.WriteFile(r.File(dir), raw, 0o644); err != nil {
		return fmt.Errorf("save the record of %s: %w", r.What, err)
	}
	return nil
}

// Load reads all records of a folder. The name of each file has to agree with the record's measurement and
// label.
func Load(dir string) ([]Record, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	var all []Record
	for _, path := range files {
		r, err := readRecord(path)
		if err != nil {
			return nil, err
		}
		if r.File(dir) != path {
			return nil, fmt.Errorf("load %s: it has the record of %s, %s", path, r.What, r.Label)
		}
		all = append(all, r)
	}
	return all, nil
}

func readRecord(path string) (r Record, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r); err != nil {
		return r, fmt.Errorf("parse record %s: %w", path, err)
	}
	return r, nil
}

// Run says where records are stored and of what they are.
type Run struct {
	Dir     string // folder of the records
	Label   string
	Commit  string
	Trial   string
	Command string
	Repeat  int
}

// record stores the points that measure returns. They go into the stored record if that is of the same
// commit and number of cores, else into a new one. A point replaces the stored point of the same sizes.
func (run Run) record(what string, measure func() ([]Point, error)) error {
	r := Record{
		What:   what,
		Label:  run.Label,
		Commit: run.Commit,
		Cores:  cores(),
		Load:   [2]float64{math.Inf(1), 0},
	}
	if previous, err := readRecord(
		r.File(run.Dir),
	); err == nil && previous.Commit == run.Commit &&
		previous.Cores == r.Cores {
		r = previous
	} else if err != nil &&
		!errors.Is(err, fs.ErrNotExist) {
		return err
	}
	r.Command = run.Command
	loads := []float64{r.Load[0], machineLoad()}
	points, err := measure()
	if err != nil {
		return fmt.Errorf("measure %s: %w", what, err)
	}
	loads = append(loads, machineLoad())
	r.Load = [2]float64{slices.Min(loads), max(r.Load[1], loads[1], loads[2])}
	for _, p := range points {
		p.Trial = run.Trial
		r.Points = slices.DeleteFunc(r.Points, func(o Point) bool { return maps.Equal(o.Sizes, p.Sizes) })
		r.Points = append(r.Points, p)
	}
	return r.Save(run.Dir)
}

// String is a line with the sizes and the medians of a point.
func (p Point) String() string {
	var s strings.Builder
	for _, k := range sortedKeys(p.Sizes) {
		fmt.Fprintf(&s, "%s=%d ", k, p.Sizes[k])
	}
	for _, k := range sortedKeys(p.Figures) {
		fmt.Fprintf(&s, " %s %.4g", k, p.Figures[k].Median)
	}
	return s.String()
}

func seconds(d time.Duration) float64 { return d.Seconds() }
