package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// say runs the program with arguments, and without a configuration.
func say(t *testing.T, args ...string) (out, problems string, code int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "WRENSPREAD_PROXY_AS_PROGRAM=1", "GW_CONFIG=")
	var o, e strings.Builder
	cmd.Stdout, cmd.Stderr = &o, &e
	if err := cmd.Run(); cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return o.String(), e.String(), cmd.ProcessState.ExitCode()
}

func wantParts(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, p := range parts {
		if !strings.Contains(text, p) {
			t.Errorf("no %q in\n%s", p, text)
		}
	}
}

// TestNewcomer is told what it needs, with an example and what to do next.
func TestNewcomer(t *testing.T) {
	needs := []string{"GW_CONFIG=FILE", "--check FILE", "discovery", "settings", example, "healthcheck"}
	out, problems, code := say(t)
	if wantParts(t, problems, needs...); code != 1 || out != "" || !strings.HasSuffix(problems, "wrenspread-proxy: GW_CONFIG names no configuration\n") {
		t.Errorf("bare: status %d, %q", code, problems)
	}
	out, problems, code = say(t, "--help")
	if wantParts(t, out, needs...); code != 0 || problems != "" {
		t.Errorf("--help: status %d, %q", code, problems)
	}
	for _, args := range [][]string{{"--chek", "x"}, {"file"}, {"--check"}} {
		if out, problems, code := say(t, args...); code != 1 || out != "" || strings.Count(problems, "\n") != 1 || !strings.Contains(problems, "--help") {
			t.Errorf("%q: status %d, %q, %q", args, code, out, problems)
		}
	}
}

// TestCheckSaysAllThatIsWrong, each with its key, and that the example is good.
func TestCheckSaysAllThatIsWrong(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.json")
	for _, c := range []struct {
		swaps []string
		code  int
		says  []string
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
		if err := os.WriteFile(path, []byte(strings.NewReplacer(c.swaps...).Replace(example)), 0o600); err != nil {
			t.Fatal(err)
		}
		out, problems, code := say(t, "--check", path)
		if wantParts(t, out, c.says...); code != c.code || (code == 0) != (problems == "") {
			t.Errorf("%q: status %d, want %d\n%s%s", c.swaps, code, c.code, out, problems)
		}
		if c.code == 0 && strings.Contains(out, "wrong") || len(c.swaps) == 10 && strings.Count(out, "wrong: ") != 5 {
			t.Errorf("%q: it says\n%s", c.swaps, out)
		}
	}
}
