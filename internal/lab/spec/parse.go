package spec

// This file reads experiment files, and makes the errors that describe invalid files.

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// LoadFile reads and checks the experiment at path. Every error names file, line and key.
func LoadFile(path string) (*Experiment, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read experiment: %w", err)
	}
	return Parse(path, string(raw))
}

// Parse parses and checks the text of an experiment file. path is used in errors, and its base name is the
// experiment's default name.
func Parse(path, text string) (*Experiment, error) {
	e := &Experiment{path: path, source: text}
	d := toml.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(e); err != nil {
		return nil, e.decodeError(err)
	}
	e.setDefaults()
	errs := e.check()
	slices.SortStableFunc(errs, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	if e.Bounds.Level == 0 {
		e.Bounds.Level = defaultRecoveredShare
	}
	return e, nil
}

// decodeError adds file, line and key to an error of the TOML decoder.
func (e *Experiment) decodeError(err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		var errs []error
		for i := range unknownKeys.Errors {
			line, _ := unknownKeys.Errors[i].Position()
			errs = append(
				errs,
				fmt.Errorf("%s:%d: %s: unknown key", e.path, line, strings.Join(unknownKeys.Errors[i].Key(), ".")),
			)
		}
		return errors.Join(errs...)
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return fmt.Errorf(
			"%s:%d: %s: %s",
			e.path,
			line,
			strings.Join(decodeErr.Key(), "."),
			strings.TrimPrefix(decodeErr.Error(), "toml: "),
		)
	}
	return fmt.Errorf("%s: %w", e.path, err)
}

// setDefaults sets the default value of each key that the file omits.
func (e *Experiment) setDefaults() {
	if e.Name == "" {
		e.Name = strings.TrimSuffix(filepath.Base(e.path), ".toml")
	}
	for p, v := range map[*int]int{
		&e.Fleet.Nodes: 3, &e.Fleet.Backends: 10, &e.Fleet.Zones: 3, &e.Fleet.MemoryMB: 192, &e.Fleet.Sockets: 1024,
	} {
		if *p == 0 {
			*p = v
		}
	}
	if e.Load.Rate == 0 && e.Load.Utilization == 0 {
		e.Load.Utilization = 0.5
	}
	if e.Load.Bursty && e.Load.Swing == 0 {
		e.Load.Swing = 0.25
	}
}

// lineOf returns the line number of a key in the nth table with the given header, counted from 0. If the key
// is absent, it returns the line number of the header, or 1 if the header is absent too.
func (e *Experiment) lineOf(header string, nth int, key string) int {
	index, inTable, headerLine := -1, header == "", 0
	for i, text := range strings.Split(e.source, "\n") {
		text = strings.TrimSpace(text)
		if strings.HasPrefix(text, "[") {
			inTable = false
			if strings.HasPrefix(text, header) && header != "" {
				index++
				inTable = index == nth
				if inTable {
					headerLine = i + 1
				}
			}
			continue
		}
		name, _, ok := strings.Cut(text, "=")
		if ok && inTable && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return max(1, headerLine)
}

// errorAt makes an error that names file, line and key. header and nth select the table, as in lineOf.
func (e *Experiment) errorAt(header string, nth int, key, format string, args ...any) error {
	name := strings.Trim(header, "[]")
	if name != "" {
		name += "."
	}
	return fmt.Errorf(
		"%s:%d: %s%s: %s",
		e.path,
		e.lineOf(header, nth, key),
		name,
		key,
		fmt.Sprintf(format, args...),
	)
}
