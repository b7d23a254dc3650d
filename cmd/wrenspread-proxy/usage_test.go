package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runProgram runs the proxy with arguments and without a configuration, and returns its output and exit
// status.
func runProgram(t *testing.T, args ...string) (out, problems string, code int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "WRENSPREAD_PROXY_AS_PROGRAM=1", "GW_CONFIG=")
	var output, errorOutput strings.Builder
	cmd.Stdout, cmd.Stderr = &output, &errorOutput
	if err := cmd.Run(); cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return output.String(), errorOutput.String(), cmd.ProcessState.ExitCode()
}

// wantParts requires that text contains all parts.
func wantParts(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, p := range parts {
		if !strings.Contains(text, p) {
			t.Errorf("no %q in\n%s", p, text)
		}
	}
}

// TestUsageIsPrinted: --help, and a start without a configuration, print the usage, an example and the next
// steps. An invalid argument is answered with one line that points to --help.
func TestUsageIsPrinted(t *testing.T) {
	parts := []string{"GW_CONFIG=FILE", "--check FILE", "discovery", "settings", example, "healthcheck"}
	out, problems, code := runProgram(t)
	if wantParts(t, problems, parts...); code != 1 || out != "" || !strings.HasSuffix(problems, "wrenspread-proxy: GW_CONFIG names no configuration file\n") {
		t.Errorf("without arguments: status %d, %q", code, problems)
	}
	out, problems, code = runProgram(t, "--help")
	if wantParts(t, out, parts...); code != 0 || problems != "" {
		t.Errorf("--help: status %d, %q", code, problems)
	}
	for _, args := range [][]string{{"--chek", "x"}, {"file"}, {"--check"}} {
		if out, problems, code := runProgram(t, args...); code != 1 || out != "" || strings.Count(problems, "\n") != 1 || !strings.Contains(problems, "--help") {
			t.Errorf("%q: status %d, %q, %q", args, code, out, problems)
		}
	}
}

// TestCheckPrintsAllProblems: --check prints all problems and notes of a file, each with its key, and accepts
// the example.
func TestCheckPrintsAllProblems(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.json")
	for _, c := range []struct {
		replacements []string
		code         int
		wantOutput   []string
	}{
		{nil, 0, []string{": good"}},
		{[]string{`"seed"`, `"colour": 1, "seed"`, `"aim_ns"`, `"aim"`}, 0,
			[]string{"note: colour: ", "note: settings.classes.0.aim: ", ": good"}},
		{[]string{`"127.0.0.1:8080"`, `"127.0.0.1"`, `"127.0.0.1:8500"`, `"127.0.0.1:85000"`, `"1f"`, `"seed"`, `"max_attempts": 3`, `"max_attempts": "3"`,
			`"fragile"`, `"frail"`}, 1, []string{"wrong: listen: ", "wrong: discovery: ", "wrong: seed: ", "wrong: settings.caps.max_attempts: ",
			"wrong: settings: class write: "}},
		{[]string{example, "{\n\"listen\" 1}"}, 1, []string{"wrong: line 2, column 10: "}},
		{[]string{example, "[1]"}, 1, []string{"wrong: want an object, have [1]"}},
	} {
		if err := os.WriteFile(path, []byte(strings.NewReplacer(c.replacements...).Replace(example)), 0o600); err != nil {
			t.Fatal(err)
		}
		out, problems, code := runProgram(t, "--check", path)
		if wantParts(t, out, c.wantOutput...); code != c.code || (code == 0) != (problems == "") {
			t.Errorf("%q: status %d, want %d\n%s%s", c.replacements, code, c.code, out, problems)
		}
		if c.code == 0 && strings.Contains(out, "wrong") || len(c.replacements) == 10 && strings.Count(out, "wrong: ") != 5 {
			t.Errorf("%q: --check prints\n%s", c.replacements, out)
		}
	}
}
