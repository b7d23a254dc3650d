package main

// The programs that experiments need: found, or built.

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/spec"
)

// newPlayer finds the programs that the experiments need.
func newPlayer(
	ctx context.Context,
	out, log io.Writer,
	bin, dir string,
	experiments []*spec.Experiment,
) (*player, func(), error) {
	node, done, err := findProgram(ctx, log, bin, "wrenspread-proxy")
	if err != nil {
		return nil, nil, err
	}
	p := &player{out: out, log: log, dir: dir, node: node}
	if !slices.ContainsFunc(experiments, func(e *spec.Experiment) bool { return e.List.Replicas > 0 }) {
		return p, done, nil
	}
	var alsoDone func()
	if p.list, alsoDone, err = findProgram(ctx, log, bin, "wrenspread-registry"); err != nil {
		done()
		return nil, nil, err
	}
	listDone := func() { done(); alsoDone() }
	if slices.ContainsFunc(experiments, func(e *spec.Experiment) bool { return e.Quota != nil }) {
		var keeperDone func()
		if p.keeper, keeperDone, err = findProgram(ctx, log, bin, "wrenspread-controller"); err != nil {
			listDone()
			return nil, nil, err
		}
		former := listDone
		listDone = func() { former(); keeperDone() }
	}
	if !slices.ContainsFunc(experiments, func(e *spec.Experiment) bool { return e.Release != nil }) {
		return p, listDone, nil
	}
	var ctlDone func()
	if p.ctl, ctlDone, err = findProgram(ctx, log, bin, "wrenspreadctl"); err != nil {
		listDone()
		return nil, nil, err
	}
	return p, func() { listDone(); ctlDone() }, nil
}

// findProgram returns the absolute path of a program of the project: in the folder bin, beside
// wrenspread-lab, or built from the project around the working folder. done removes what was built.
func findProgram(ctx context.Context, log io.Writer, bin, name string) (path string, done func(), err error) {
	nothing := func() {}
	if bin != "" {
		path = filepath.Join(bin, name)
		if !fileThere(path) {
			return "", nil, unplayed{
				fmt.Errorf("--bin: there is no %s; to build it: go build -o %s ./cmd/*", path, bin),
			}
		}
		return absolute(path, nothing)
	}
	if self, err := os.Executable(); err == nil {
		if beside := filepath.Join(filepath.Dir(self), name); fileThere(beside) {
			return absolute(beside, nothing)
		}
	}
	root, err := projectRoot()
	if err != nil {
		return "", nil, unplayed{err}
	}
	built, err := os.MkdirTemp("", "wrenspread-lab")
	if err != nil {
		return "", nil, unplayed{err}
	}
	done = func() { besteffort.Cleanup(os.RemoveAll(built)) }
	path = filepath.Join(built, name)
	cmd := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", path, "./cmd/"+name)
	cmd.Dir, cmd.Stderr = root, log
	if err := cmd.Run(); err != nil {
		done()
		return "", nil, unplayed{fmt.Errorf("building %s in %s: %w", name, root, err)}
	}
	return absolute(path, done)
}

func absolute(path string, done func()) (string, func(), error) {
	path, err := filepath.Abs(path)
	if err != nil {
		done()
		return "", nil, unplayed{err}
	}
	return path, done, nil
}

func fileThere(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular()
}

// projectRoot is the folder above the working one that has the module's go.mod.
func projectRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for at := dir; ; at = filepath.Dir(at) {
		if raw, err := os.ReadFile(
			filepath.Join(at, "go.mod"),
		); err == nil &&
			strings.HasPrefix(string(raw), "module wrenspread-proxy\n") {
			return at, nil
		}
		if at == filepath.Dir(at) {
			return "", fmt.Errorf(
				"there is no wrenspread-proxy beside this program, and %s is not in the project's folder: run there, or name a folder with --bin",
				dir,
			)
		}
	}
}
