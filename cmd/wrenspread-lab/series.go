package main

import (
	"errors"
	"fmt"
	"sync"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/report"
)

// series describes runs of one kind, each with its own seed, of which some run in parallel.
type series struct {
	kind           string
	firstSeed      uint64
	runs, parallel int
}

// outcome is the result of one run of a series.
type outcome struct {
	line      string
	broken    bool
	undecided bool // the check of the history did not finish in time
}

// tally counts the runs that were played by their result.
type tally struct{ passed, broken, undecided int }

// play plays all runs and prints a line for each, and a closing line for the series: the worst result, the
// kind, and the text that summarize returns for the counts and the number of runs that were not played.
func (s series) play(
	c *cobra.Command,
	playSeed func(seed uint64) (outcome, error),
	summarize func(t tally, unplayed int) string,
) error {
	var mu sync.Mutex // guards counts and the output
	var counts tally
	var g errgroup.Group
	g.SetLimit(s.parallel)
	for i := range s.runs {
		g.Go(func() error {
			o, err := playSeed(s.firstSeed + uint64(i))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				return unplayedError{fmt.Errorf("seed %d: %w", s.firstSeed+uint64(i), err)}
			}
			besteffort.Output(fmt.Fprintln(c.OutOrStdout(), o.line))
			switch {
			case o.broken:
				counts.broken++
			case o.undecided:
				counts.undecided++
			default:
				counts.passed++
			}
			return nil
		})
	}
	err := g.Wait()
	worst := report.Pass
	if counts.broken > 0 {
		worst = report.Fail
	} else if counts.passed < s.runs {
		worst = report.Void
	}
	besteffort.Output(
		fmt.Fprintf(
			c.OutOrStdout(),
			"%s %s: %s\n",
			resultWords[worst],
			s.kind,
			summarize(counts, s.runs-counts.passed-counts.broken-counts.undecided),
		),
	)
	switch {
	case counts.broken > 0:
		return errRuleBroken
	case err != nil:
		return err
	case counts.undecided > 0:
		return unplayedError{errors.New("some histories could not be checked in time")}
	}
	return nil
}
