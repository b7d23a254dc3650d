package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/fleet"
	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/report"
	"wrenspread/internal/lab/spec"
)

// player plays experiments one after another. The path of a program is empty if no experiment needs the
// program.
type player struct {
	results        io.Writer // receives the results
	progress       io.Writer // receives progress messages
	proxyPath      string    // path of wrenspread-proxy, which the nodes run
	registryPath   string    // path of wrenspread-registry
	ctlPath        string    // path of wrenspreadctl
	controllerPath string    // path of wrenspread-controller
	outDir         string    // folder in which each run creates its own folder
}

// playRun plays an experiment with one seed, writes the report and prints a result line.
func (p *player) playRun(ctx context.Context, e *spec.Experiment, seed uint64) (report.Result, error) {
	dir := filepath.Join(
		p.outDir,
		fmt.Sprintf("%s-%d-%s", e.Name, seed, time.Now().UTC().Format("20060102T150405.000")),
	)
	display := newProgressDisplay(p.progress, e.Name)
	run, err := fleet.Play(
		ctx,
		fleet.Options{
			Experiment:        e,
			Seed:              seed,
			Dir:               dir,
			NodeCommand:       []string{p.proxyPath},
			ReplicaCommand:    []string{p.registryPath},
			ControllerCommand: []string{p.controllerPath},
			CtlCommand:        []string{p.ctlPath},
			Follow:            display.observe,
		},
	)
	display.stop()
	if err != nil {
		besteffort.Output(
			fmt.Fprintf(p.results, "VOID %s: seed %d, could not be played: %s\n", e.Name, seed, joinErrorLines(err)),
		)
		return report.Void, unplayedError{fmt.Errorf("%s: %w", e.Name, err)}
	}
	page, err := run.Write(dir)
	if err != nil {
		return report.Void, unplayedError{err}
	}
	besteffort.Output(fmt.Fprintf(p.progress, "report: %s\n", page))
	if run.Late != "" {
		besteffort.Output(fmt.Fprintf(p.progress, "the machine was late: %s\n", run.Late))
	}
	for _, v := range run.Verdicts {
		for _, m := range v.Measured {
			besteffort.Output(fmt.Fprintf(p.progress, "%s: %s\n", v.Name, m))
		}
	}
	besteffort.Output(fmt.Fprintln(p.results, run.Line()))
	return run.Result(), nil
}

// resultWords are the words with which a result line begins.
var resultWords = map[report.Result]string{report.Pass: "PASS", report.Fail: "FAIL", report.Void: "VOID"}

// joinErrorLines returns the text of err on one line, its lines joined with semicolons.
func joinErrorLines(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// playAll plays each experiment with each seed. It prints a closing line if there are several runs, and
// returns an error for the worst result: nil if all runs passed, errRuleBroken if a run failed.
func (p *player) playAll(ctx context.Context, experiments []*spec.Experiment, seeds []uint64) error {
	worst := report.Pass
	var errs []error
	counts := map[report.Result]int{}
	for _, e := range experiments {
		for _, seed := range seeds {
			result, err := p.playRun(ctx, e, seed)
			if ctx.Err() != nil {
				return unplayedError{ctx.Err()}
			}
			counts[result]++
			if result == report.Fail || (result == report.Void && worst == report.Pass) {
				worst = result
			}
			if err != nil {
				errs = append(errs, err)
			}
		}
	}
	if runs := len(experiments) * len(seeds); runs > 1 {
		name := "all"
		if len(experiments) == 1 {
			name = experiments[0].Name
		}
		besteffort.Output(
			fmt.Fprintf(
				p.results,
				"%s %s: %d runs, %d passed, %d failed, %d do not count\n",
				resultWords[worst],
				name,
				runs,
				counts[report.Pass],
				counts[report.Fail],
				counts[report.Void],
			),
		)
	}
	switch {
	case worst == report.Fail:
		return errRuleBroken
	case len(errs) > 0:
		return unplayedError{errors.Join(errs...)}
	case worst == report.Void:
		return unplayedError{errors.New("the run does not count: the machine was too late")}
	}
	return nil
}

// seedsFrom returns count consecutive seeds, at least one, starting with first.
func seedsFrom(first uint64, count int) []uint64 {
	var seeds []uint64
	for i := range max(1, count) {
		seeds = append(seeds, first+uint64(i))
	}
	return seeds
}

// loadExperiments reads all experiments (*.toml) of a folder, in the order of their file names. A folder with
// no experiment is an error.
func loadExperiments(dir string) ([]*spec.Experiment, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		return nil, unplayedError{err}
	}
	if len(paths) == 0 {
		return nil, unplayedError{fmt.Errorf("there is no experiment (*.toml) in %s", dir)}
	}
	slices.Sort(paths)
	var experiments []*spec.Experiment
	var errs []error
	for _, path := range paths {
		e, err := spec.LoadFile(path)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		experiments = append(experiments, e)
	}
	if len(errs) > 0 {
		return nil, unplayedError{errors.Join(errs...)}
	}
	return experiments, nil
}

// defaultExperimentsDir returns the lab folder of the project, or "lab" outside the project.
func defaultExperimentsDir() string {
	root, err := projectRoot()
	if err != nil {
		return "lab"
	}
	return filepath.Join(root, "lab")
}

// progressDisplay prints the progress of a run while the run is played.
type progressDisplay struct {
	name          string
	out           io.Writer
	terminal      bool // out is a terminal
	mu            sync.Mutex
	ended         map[string]int // requests ended, by outcome, and "all"
	stopRequested chan struct{}
	stopped       chan struct{}
	elapsed       time.Duration // time of the latest event
	activeFaults  []string      // details of the faults that have begun and not ended
}

// newProgressDisplay starts a display that prints to w until its stop method is called.
func newProgressDisplay(w io.Writer, name string) *progressDisplay {
	l := &progressDisplay{name: name, out: w, ended: map[string]int{},
		stopRequested: make(chan struct{}), stopped: make(chan struct{})}
	if f, ok := w.(*os.File); ok {
		info, err := f.Stat()
		l.terminal = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	go l.printUntilStopped()
	return l
}

// observe updates the display's counts and active faults with an event of the run.
func (l *progressDisplay) observe(e history.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.elapsed = max(l.elapsed, e.T)
	switch {
	case e.Kind == history.Over:
		l.ended[e.How]++
		l.ended["all"]++
	case e.Kind == history.Fault && e.How == "begin":
		l.activeFaults = append(l.activeFaults, e.Detail)
	case e.Kind == history.Fault:
		l.activeFaults = slices.DeleteFunc(l.activeFaults, func(s string) bool { return s == e.Detail })
	}
}

// printUntilStopped prints a line every second to a terminal, and every 5 s elsewhere.
func (l *progressDisplay) printUntilStopped() {
	defer close(l.stopped)
	interval := time.Second
	if !l.terminal {
		interval = 5 * time.Second
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.printLine()
		case <-l.stopRequested:
			return
		}
	}
}

// printLine prints the current counts. On a terminal the line replaces the previous line.
func (l *progressDisplay) printLine() {
	l.mu.Lock()
	defer l.mu.Unlock()
	ended := l.ended
	text := fmt.Sprintf(
		"%s %5.1f s: ended %d, served %d, refused %d, failed %d; faults on: %s",
		l.name,
		l.elapsed.Seconds(),
		ended["all"],
		ended[history.Served],
		ended[history.Refused],
		ended["all"]-ended[history.Served]-ended[history.Refused],
		cmp.Or(strings.Join(l.activeFaults, ", "), "none"),
	)
	if l.terminal {
		besteffort.Output(fmt.Fprintf(l.out, "\r\033[K%s", text))
	} else {
		besteffort.Output(fmt.Fprintln(l.out, text))
	}
}

// stop ends the display, waits for its goroutine and clears the line on a terminal.
func (l *progressDisplay) stop() {
	close(l.stopRequested)
	<-l.stopped
	if l.terminal {
		besteffort.Output(fmt.Fprint(l.out, "\r\033[K"))
	}
}
