package scale

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	pageFile   = "../../../docs/CAPACITY.md"
	recordsDir = "../../../docs/capacity"
)

func readPage(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// TestPageMatchesRecordsAndPlan checks that the tables on the page are those that the records and the plan
// give.
func TestPageMatchesRecordsAndPlan(t *testing.T) {
	text := readPage(t)
	if got, err := Page(text, recordsDir); err != nil {
		t.Fatal(err)
	} else if got != text {
		t.Error("docs/CAPACITY.md differs from its records: update it with wrenspread-lab scale page")
	}
}

// copyRecords copies the folder of the records, with each file changed by edit, and returns the path of the
// copy.
func copyRecords(t *testing.T, edit func(name, text string) string) string {
	t.Helper()
	dir := t.TempDir()
	files, err := os.ReadDir(recordsDir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		raw, err := os.ReadFile(filepath.Join(recordsDir, f.Name()))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, f.Name()), []byte(edit(f.Name(), string(raw))), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// TestPageShowsChangesAndRefusesBadInput checks that a changed figure or plan changes the page, that invalid
// records and plans are errors, and that a changed page is an error or is restored.
func TestPageShowsChangesAndRefusesBadInput(t *testing.T) {
	text := readPage(t)
	plan := func(from, to string) func(string, string) string {
		return func(name, raw string) string {
			if name == "plan.toml" {
				return strings.Replace(raw, from, to, 1)
			}
			return raw
		}
	}
	for name, edit := range map[string]func(string, string) string{
		"a figure": func(name, raw string) string {
			if strings.HasPrefix(name, "entries-") {
				return strings.ReplaceAll(raw, `"median":`, `"median":7`)
			}
			return raw
		},
		"the plan": plan("nodes = 4300", "nodes = 4301"),
	} {
		if got, err := Page(text, copyRecords(t, edit)); err != nil || got == text {
			t.Errorf("change of %s: the page is unchanged, or error %v", name, err)
		}
	}
	for name, dir := range map[string]string{
		"an unknown key of the plan":         copyRecords(t, plan("nodes = 4300", "nodes = 4300\nnoodles = 2")),
		"a plan without nodes":               copyRecords(t, plan("nodes = 4300", "")),
		"an unknown key of a record":         copyRecords(t, func(name, raw string) string { return strings.Replace(raw, `"commit"`, `"comit"`, 1) }),
		"a record in a file of another name": copyRecords(t, func(name, raw string) string { return strings.Replace(raw, `"label":"before"`, `"label":"after"`, 1) }),
	} {
		if _, err := Page(text, dir); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	for name, page := range map[string]string{
		"a missing table":        strings.Replace(text, "<!-- scale: walls -->", "", 1),
		"an unknown table":       text + "<!-- scale: other -->\n" + endMark,
		"a table twice":          text + "<!-- scale: walls -->\n" + endMark,
		"tables without an end":  strings.ReplaceAll(text, endMark, ""),
		"an empty page":          "",
		"a figure added by hand": strings.Replace(text, "<!-- scale: walls -->\n", "<!-- scale: walls -->\n| 1 |\n", 1),
	} {
		if got, err := Page(page, recordsDir); err == nil && got == page {
			t.Errorf("%s: the page is accepted unchanged", name)
		}
	}
}
