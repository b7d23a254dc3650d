package main

// This file finds or builds the programs that experiments need.

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

// newPlayer returns a player with the programs that the experiments need: always the proxy; the registry if
// an experiment has replicas of it; with the registry also the controller for quotas and wrenspreadctl for
// releases. The returned function removes the programs that were built.
func newPlayer(
	ctx context.Context,
	results, progress io.Writer,
	binDir, outDir string,
	experiments []*spec.Experiment,
) (*player, func(), error) {
	proxyPath, removeProxy, err := findProgram(ctx, progress, binDir, "wrenspread-proxy")
	if err != nil {
		return nil, nil, err
	}
	p := &player{results: results, progress: progress, outDir: outDir, proxyPath: proxyPath}
	if !slices.ContainsFunc(experiments, func(e *spec.Experiment) bool { return e.Discovery.Replicas > 0 }) {
		return p, removeProxy, nil
	}
	var removeRegistry func()
	if p.registryPath, removeRegistry, err = findProgram(
		ctx, progress, binDir, "wrenspread-registry"); err != nil {
		removeProxy()
		return nil, nil, err
	}
	removeAll := func() { removeProxy(); removeRegistry() }
	if slices.ContainsFunc(experiments, func(e *spec.Experiment) bool { return e.Quota != nil }) {
		var removeController func()
		if p.controllerPath, removeController, err = findProgram(
			ctx, progress, binDir, "wrenspread-controller"); err != nil {
			removeAll()
			return nil, nil, err
		}
		removeEarlier := removeAll
		removeAll = func() { removeEarlier(); removeController() }
	}
	if !slices.ContainsFunc(experiments, func(e *spec.Experiment) bool { return e.Release != nil }) {
		return p, removeAll, nil
	}
	var removeCtl func()
	if p.ctlPath, removeCtl, err = findProgram(ctx, progress, binDir, "wrenspreadctl"); err != nil {
		removeAll()
		return nil, nil, err
	}
	return p, func() { removeAll(); removeCtl() }, nil
}

// findProgram returns the absolute path of a program of the project. If binDir is set, it looks only in that
// folder. Otherwise it looks in the folder of wrenspread-lab itself, and if the program is not there, builds
// it from the project that contains the working directory. The function remove deletes what was built.
func findProgram(ctx context.Context, log io.Writer, binDir, name string) (
	path string, remove func(), err error,
) {
	removeNothing := func() {}
	if binDir != "" {
		path = filepath.Join(binDir, name)
		if !isRegularFile(path) {
			return "", nil, unplayedError{
				fmt.Errorf("--bin: there is no %s; to build it: go build -o %s ./cmd/*", path, binDir),
			}
		}
		return absolutePath(path, removeNothing)
	}
	if executable, err := os.Executable(); err == nil {
		if sibling := filepath.Join(filepath.Dir(executable), name); isRegularFile(sibling) {
			return absolutePath(sibling, removeNothing)
		}
	}
	root, err := projectRoot()
	if err != nil {
		return "", nil, unplayedError{err}
	}
	buildDir, err := os.MkdirTemp("", "wrenspread-lab")
	if err != nil {
		return "", nil, unplayedError{err}
	}
	remove = func() { besteffort.Cleanup(os.RemoveAll(buildDir)) }
	path = filepath.Join(buildDir, name)
	cmd := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", path, "./cmd/"+name)
	cmd.Dir, cmd.Stderr = root, log
	if err := cmd.Run(); err != nil {
		remove()
		return "", nil, unplayedError{fmt.Errorf("build %s in %s: %w", name, root, err)}
	}
	return absolutePath(path, remove)
}

// absolutePath returns path as an absolute path, with the same remove function. On an error it calls remove.
func absolutePath(path string, remove func()) (string, func(), error) {
	path, err := filepath.Abs(path)
	if err != nil {
		remove()
		return "", nil, unplayedError{err}
	}
	return path, remove, nil
}

// isRegularFile reports whether path exists and is a regular file.
func isRegularFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular()
}

// modulePath is the path of the project's module.
const modulePath = "wrenspread"

// projectRoot returns the nearest folder, from the working directory upwards, that has the go.mod of the
// module.
func projectRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for ancestor := dir; ; ancestor = filepath.Dir(ancestor) {
		if raw, err := os.ReadFile(
			filepath.Join(ancestor, "go.mod"),
		); err == nil &&
			strings.HasPrefix(string(raw), "module "+modulePath+"\n") {
			return ancestor, nil
		}
		if ancestor == filepath.Dir(ancestor) {
			return "", fmt.Errorf(
				"find the programs: they are not in the folder of wrenspread-lab, and %s is not in the project's folder: run in the project, or name their folder with --bin",
				dir,
			)
		}
	}
}
