// Package scale measures how the costs of control grow with the size of a fleet. It runs hollow nodes
// (complete nodes that share one process and accept no clients) and watchers against the real programs, fits
// the costs over the sizes, and makes the tables of the capacity page.
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

// Record holds the results of one command's measurement, as they are stored in the repository.
type Record struct {
	Measurement string `json:"what"`
	Label       string `json:"label"`  // Before or After
	Commit      string `json:"commit"` // commit of the programs that were measured
	Command     string `json:"command"`
	Cores       int    `json:"cores"`
	// Load is the least and the greatest of the machine's load averages over a minute, which are read at the
	// start and the end of each run of the command.
	Load   [2]float64 `json:"load"`
	Points []Point    `json:"points"`
}

// Point holds the figures that were measured at one combination of sizes.
type Point struct {
	Sizes map[string]int `json:"sizes"`
	// Trial says how the measured programs differ from the commit; empty: they do not differ.
	Trial   string            `json:"trial,omitempty"`
	Figures map[string]Spread `json:"figures"`
}

// Spread is the median, the minimum and the maximum of a figure over its repetitions.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"least"`
	Max    float64 `json:"most"`
}

// Labels of records: measured before or after the change of mechanism that the page compares.
const (
	Before = "before"
	After  = "after"
)

// spreadOf returns the spread of values, rounded to four digits. It sorts the slice.
func spreadOf(values []float64) Spread {
	slices.Sort(values)
	return Spread{
		roundToFourDigits(values[len(values)/2]), roundToFourDigits(values[0]),
		roundToFourDigits(values[len(values)-1]),
	}
}

// roundToFourDigits rounds to four significant digits, as no figure here is more exact. It returns 0 for NaN
// and infinities.
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

// repeated calls measure the given number of times, and returns a point with the spread of each figure.
func repeated(times int, sizes map[string]int, measure func() (map[string]float64, error)) (Point, error) {
	values := map[string][]float64{}
	for range times {
		figures, err := measure()
		if err != nil {
			return Point{}, fmt.Errorf("at %v: %w", sizes, err)
		}
		for name, f := range figures {
			values[name] = append(values[name], f)
		}
	}
	p := Point{Sizes: sizes, Figures: map[string]Spread{}}
	for name, f := range values {
		p.Figures[name] = spreadOf(f)
	}
	return p, nil
}

// File returns the path of the record's file in a folder.
func (r Record) File(dir string) string {
	return filepath.Join(dir, r.Measurement+"-"+r.Label+".json")
}

// Save writes the record to its file in a folder.
func (r Record) Save(dir string) error {
	points := r.Points
	r.Points = nil
	raw, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("save the record of %s: %w", r.Measurement, err)
	}
	raw = append(bytes.TrimSuffix(raw, []byte("null}")), '[')
	for i, p := range points { // one point a line, so that a diff shows which points were measured again
		line, err := json.Marshal(p)
		if err != nil {
			return fmt.Errorf("save the record of %s: %w", r.Measurement, err)
		}
		if i > 0 {
			raw = append(raw, ',')
		}
		raw = append(append(raw, '\n'), line...)
	}
	raw = append(raw, "\n]}\n"...)
	if err := os.WriteFile(r.File(dir), raw, 0o644); err != nil {
		return fmt.Errorf("save the record of %s: %w", r.Measurement, err)
	}
	return nil
}

// Load reads all records of a folder. The name of each file has to match the measurement and the label of the
// record in it.
func Load(dir string) ([]Record, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	var records []Record
	for _, path := range files {
		r, err := readRecord(path)
		if err != nil {
			return nil, err
		}
		if r.File(dir) != path {
			return nil, fmt.Errorf("load record %s: its name does not match its measurement %s and label %s",
				path, r.Measurement, r.Label)
		}
		records = append(records, r)
	}
	return records, nil
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

// Run holds the folder of the records, how often figures are measured, and what is stored about the run.
type Run struct {
	Dir     string // folder of the records
	Label   string // Before or After
	Commit  string // commit of the measured programs
	Trial   string // how the programs differ from the commit; empty: they do not differ
	Command string // command line that is stored in the record
	Repeat  int    // number of repetitions of each figure
}

// record stores the points that measure returns. If the stored record has the same commit and number of
// cores, the points are added to it, and a point replaces the stored point of the same sizes. Otherwise a new
// record replaces the stored one.
func (run Run) record(measurement string, measure func() ([]Point, error)) error {
	r := Record{
		Measurement: measurement,
		Label:       run.Label,
		Commit:      run.Commit,
		Cores:       cores(),
		Load:        [2]float64{math.Inf(1), 0},
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
		return fmt.Errorf("measure %s: %w", measurement, err)
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

// String returns a line with the sizes and the medians of the point.
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
