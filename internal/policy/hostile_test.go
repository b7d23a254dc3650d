package policy

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"wrenspread/ratelimit"
)

// hostileSources returns sources, most of them about size bytes long, that demand much work, deep recursion
// or much memory of the compiler.
func hostileSources(size int) map[string]string {
	limitWithRate := func(rate string) string { return "fleet {\n  requests { rate = " + rate + " }\n}\n" }
	doubledLists := "locals {\n  l0 = [1, 1]\n"
	for i := range 60 {
		doubledLists += fmt.Sprintf("  l%d = [local.l%d, local.l%d]\n", i+1, i, i)
	}
	doubledStrings := "locals {\n  t0 = \"aaaaaaaaaa\"\n"
	for i := range 60 {
		doubledStrings += fmt.Sprintf("  t%d = \"${local.t%d}${local.t%d}\"\n", i+1, i, i)
	}
	longList := "[" + strings.Repeat("1,", 1000) + "]"
	nestedDynamic := "fleet {\n  requests { rate = 1 }\n" + strings.Repeat("dynamic \"site\" {\nfor_each = "+longList+"\nlabels = [\"s${site.key}\"]\ncontent {\n", 4) +
		strings.Repeat("}\n}\n", 4) + "}\n"
	manyScopes := "fleet {\n  requests { rate = 1e6 }\n  dynamic \"book\" {\n    for_each = " + longList + "\n    labels = [\"b${book.key}\"]\n" +
		"    content {\n      dynamic \"class\" {\n        for_each = " + longList + "\n        labels = [\"c${class.key}\"]\n" +
		"        content {\n          share = 0\n        }\n      }\n    }\n  }\n}\n"
	return map[string]string{
		"parens":       limitWithRate(strings.Repeat("(", size/2)),
		"brackets":     limitWithRate(strings.Repeat("[", size/2)),
		"signs":        limitWithRate(strings.Repeat("-", size/2) + "1"),
		"nots":         limitWithRate(strings.Repeat("!", size/2)),
		"choices":      limitWithRate(strings.Repeat("true ? 1 : ", size/12) + "1"),
		"sums":         limitWithRate(strings.Repeat("1+", size/3) + "1"),
		"indexes":      limitWithRate("books" + strings.Repeat("[0]", size/4)),
		"steps":        limitWithRate("books" + strings.Repeat(".a", size/3)),
		"blocks":       strings.Repeat("fleet {\n", size/9),
		"templates":    limitWithRate(strings.Repeat("\"${", size/4)),
		"huge number":  limitWithRate("1e999999999"),
		"long number":  limitWithRate(strings.Repeat("9", size/2)),
		"tiny number":  limitWithRate("1e-999999999"),
		"no number":    limitWithRate("1/0"),
		"doubling":     doubledLists + "}\n" + limitWithRate("1"),
		"text":         doubledStrings + "}\n" + limitWithRate("1"),
		"for for":      limitWithRate("length([for a in " + longList + ": [for b in " + longList + ": [for c in " + longList + ": 1]]])"),
		"long list":    limitWithRate("length([" + strings.Repeat("1,", 5000) + "])"),
		"dynamic":      nestedDynamic,
		"many":         manyScopes,
		"locals":       "locals {\n" + repeatLine("  a%d = 1\n", 5000) + "}\n" + limitWithRate("1"),
		"errors":       "fleet {\n  requests { rate = 1 }\n" + repeatLine("  book \"b%d\" {}\n", 5000) + "}\n",
		"long line":    "# " + strings.Repeat("x", size/2) + "\nflete {}\n",
		"bytes":        "\xff\xfe\x00fleet { \x80 }",
		"heredoc":      "fleet {\n  priority = <<E\n${1}\nE\n}\n",
		"null":         limitWithRate("null"),
		"nothing":      limitWithRate("[for a in books : a][99]"),
		"object":       limitWithRate("{a = 1}"),
		"conditional":  limitWithRate("length(books) > 0 ? \"x\" : 1"),
		"own name":     "fleet {\n  dynamic \"book\" {\n    for_each = book.value\n    labels = [1, null, book.key]\n    content {}\n  }\n}\n",
		"unknown each": "fleet {\n  dynamic \"book\" {\n    for_each = local.none\n    labels = [book.key]\n    content { share = 1 }\n  }\n}\n",
	}
}

// repeatLine returns n lines, formatted with their numbers.
func repeatLine(line string, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, line, i)
	}
	return b.String()
}

// Any source compiles or is rejected without much memory. The sources have an eighth of the maximum length,
// which keeps the test quick. Work grows linearly with the length: at the maximum length, the worst source
// took 1 s and 290 MB.
func TestHostileSourcesCompileWithinMemoryBound(t *testing.T) {
	for name, text := range hostileSources(maxSourceBytes / 8) {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			table, err := Compile("x.hcl", []byte(text), testNames)
			runtime.ReadMemStats(&after)
			if err == nil && len(table.Limits) > 1 {
				t.Errorf("source compiled to a table with %d limits, want an error or at most one limit", len(table.Limits))
			}
			if mb := (after.TotalAlloc - before.TotalAlloc) >> 20; mb > 200 {
				t.Errorf("compiling allocated %d MB, want at most 200", mb)
			}
		})
	}
}

// Any source compiles to a table that can be read back from its bytes, or to errors that can be printed.
func FuzzCompile(f *testing.F) {
	for _, text := range hostileSources(2000) {
		f.Add([]byte(text))
	}
	for _, pattern := range []string{"testdata/*.hcl", "testdata/errors/*.hcl"} {
		files, _ := filepath.Glob(pattern)
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		table, err := Compile("x.hcl", text, testNames)
		var faults *Errors
		switch {
		case errors.As(err, &faults):
			if err := faults.Print(io.Discard); err != nil || faults.Error() == "" || faults.Count() == 0 {
				t.Fatal(err)
			}
		case err == nil:
			if _, err := ratelimit.Read(table.JSON()); err != nil {
				t.Fatal(err)
			}
		}
	})
}
