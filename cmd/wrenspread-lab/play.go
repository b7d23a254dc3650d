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

// player plays experiments one after another.
type player struct {
	out    io.Writer // results
	log    io.Writer // progress
	node   string    // path of the program that nodes run
	list   string    // of the registry's, where an experiment has one
	ctl    string    // of wrenspreadctl; empty: no experiment needs it
	keeper string    // of wrenspread-controller; empty: no experiment needs it
	dir    string    // under which each run gets a folder
}

// play plays one run, writes its report and prints its line.
func (p *player) play(ctx context.Context, e *spec.Experiment, seed uint64) (report.Result, error) {
	dir := filepath.Join(
		p.dir,
		fmt.Sprintf("%s-%d-%s", e.Name, seed, time.Now().UTC().Format("20060102T150405.000")),
	)
	live := newLive(p.log, e.Name)
	run, err := fleet.Play(
		ctx,
		fleet.Options{
			Experiment: e,
			Seed:       seed,
			Dir:        dir,
			Node:       []string{p.node},
			List:       []string{p.list},
			Keeper:     []string{p.keeper},
			Ctl:        []string{p.ctl},
			Follow:     live.follow,
		},
	)
	live.end()
	if err != nil {
		besteffort.Output(
			fmt.Fprintf(p.out, "VOID %s: seed %d, could not be played: %s\n", e.Name, seed, oneLine(err)),
		)
		return report.Unplayed, unplayed{fmt.Errorf("%s: %w", e.Name, err)}
	}
	page, err := run.Write(dir)
	if err != nil {
		return report.Unplayed, unplayed{err}
	}
	besteffort.Output(fmt.Fprintf(p.log, "report: %s\n", page))
	if run.Late != "" {
		besteffort.Output(fmt.Fprintf(p.log, "the machine was late: %s\n", run.Late))
	}
	for _, v := range run.Verdicts {
		for _, m := range v.Measured {
			besteffort.Output(fmt.Fprintf(p.log, "%s: %s\n", v.Name, m))
		}
	}
	besteffort.Output(fmt.Fprintln(p.out, run.Line()))
	return run.Result(), nil
}

// words begin the line of a result.
var words = map[report.Result]string{report.Pass: "PASS", report.Fail: "FAIL", report.Unplayed: "VOID"}

func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// all plays runs and tells the worst that came of them; of several, also in a closing line.
func (p *player) all(ctx context.Context, experiments []*spec.Experiment, seeds []uint64) error {
	worst := report.Pass
	var errs []error
	counts := map[report.Result]int{}
	for _, e := range experiments {
		for _, seed := range seeds {
			result, err := p.play(ctx, e, seed)
			if ctx.Err() != nil {
				return unplayed{ctx.Err()}
			}
			counts[result]++
			if result == report.Fail || (result == report.Unplayed && worst == report.Pass) {
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
				p.out,
				"%s %s: %d runs, %d passed, %d failed, %d do not count\n",
				words[worst],
				name,
				runs,
				counts[report.Pass],
				counts[report.Fail],
				counts[report.Unplayed],
			),
		)
	}
	switch {
	case worst == report.Fail:
		return errRuleBroken
	case len(errs) > 0:
		return unplayed{errors.Join(errs...)}
	case worst == report.Unplayed:
		return unplayed{errors.New("the machine was too late for the run to count")}
	}
	return nil
}

// seeds are K of them, from the first on.
func seedsFrom(first uint64, k int) []uint64 {
	var all []uint64
	for i := range max(1, k) {
		all = append(all, first+uint64(i))
	}
	return all
}

// experimentsIn reads all files of a folder.
func experimentsIn(dir string) ([]*spec.Experiment, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		return nil, unplayed{err}
	}
	if len(paths) == 0 {
		return nil, unplayed{fmt.Errorf("there is no experiment (*.toml) in %s", dir)}
	}
	slices.Sort(paths)
	var all []*spec.Experiment
	var errs []error
	for _, path := range paths {
		e, err := spec.LoadFile(path)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		all = append(all, e)
	}
	if len(errs) > 0 {
		return nil, unplayed{errors.Join(errs...)}
	}
	return all, nil
}

// defaultDir is where the project keeps its experiments.
func defaultDir() string {
	root, err := projectRoot()
	if err != nil {
		return "lab"
	}
	return filepath.Join(root, "lab")
}

// live shows a run as it goes: one line a second.
type live struct {
	name string
	w    io.Writer
	tty  bool
	mu   sync.Mutex
	n    map[string]int
	done chan struct{}
	over chan struct{}
	at   time.Duration
	on   []string // faults
}

func newLive(w io.Writer, name string) *live {
	l := &live{name: name, w: w, n: map[string]int{}, done: make(chan struct{}), over: make(chan struct{})}
	if f, ok := w.(*os.File); ok {
		info, err := f.Stat()
		l.tty = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	go l.show()
	return l
}

func (l *live) follow(e history.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = max(l.at, e.T)
	switch {
	case e.Kind == history.Over:
		l.n[e.How]++
		l.n["all"]++
	case e.Kind == history.Fault && e.How == "begin":
		l.on = append(l.on, e.Detail)
	case e.Kind == history.Fault:
		l.on = slices.DeleteFunc(l.on, func(s string) bool { return s == e.Detail })
	}
}

func (l *live) show() {
	defer close(l.over)
	every := time.Second
	if !l.tty {
		every = 5 * time.Second
	}
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			l.line()
		case <-l.done:
			return
		}
	}
}

func (l *live) line() {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.n
	text := fmt.Sprintf(
		"%s %5.1f s: ended %d, served %d, refused %d, failed %d; faults on: %s",
		l.name,
		l.at.Seconds(),
		n["all"],
		n[history.Served],
		n[history.Refused],
		n["all"]-n[history.Served]-n[history.Refused],
		cmp.Or(strings.Join(l.on, ", "), "none"),
	)
	if l.tty {
		besteffort.Output(fmt.Fprintf(l.w, "\r\033[K%s", text))
	} else {
		besteffort.Output(fmt.Fprintln(l.w, text))
	}
}

func (l *live) end() {
	close(l.done)
	<-l.over
	if l.tty {
		besteffort.Output(fmt.Fprint(l.w, "\r\033[K"))
	}
}
