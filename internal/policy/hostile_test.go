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

// hostile are texts that ask for much work, depth or memory.
func hostile(size int) map[string]string {
	in := func(rate string) string { return "fleet {\n  requests { rate = " + rate + " }\n}\n" }
	chain := "locals {\n  l0 = [1, 1]\n"
	for i := range 60 {
		chain += fmt.Sprintf("  l%d = [local.l%d, local.l%d]\n", i+1, i, i)
	}
	text := "locals {\n  t0 = \"aaaaaaaaaa\"\n"
	for i := range 60 {
		text += fmt.Sprintf("  t%d = \"${local.t%d}${local.t%d}\"\n", i+1, i, i)
	}
	thousand := "[" + strings.Repeat("1,", 1000) + "]"
	dynamic := "fleet {\n  requests { rate = 1 }\n" + strings.Repeat("dynamic \"site\" {\nfor_each = "+thousand+"\nlabels = [\"s${site.key}\"]\ncontent {\n", 4) +
		strings.Repeat("}\n}\n", 4) + "}\n"
	books := "fleet {\n  requests { rate = 1e6 }\n  dynamic \"book\" {\n    for_each = " + thousand + "\n    labels = [\"b${book.key}\"]\n" +
		"    content {\n      dynamic \"class\" {\n        for_each = " + thousand + "\n        labels = [\"c${class.key}\"]\n" +
		"        content {\n          share = 0\n        }\n      }\n    }\n  }\n}\n"
	return map[string]string{
		"parens":       in(strings.Repeat("(", size/2)),
		"brackets":     in(strings.Repeat("[", size/2)),
		"signs":        in(strings.Repeat("-", size/2) + "1"),
		"nots":         in(strings.Repeat("!", size/2)),
		"choices":      in(strings.Repeat("true ? 1 : ", size/12) + "1"),
		"sums":         in(strings.Repeat("1+", size/3) + "1"),
		"indexes":      in("books" + strings.Repeat("[0]", size/4)),
		"steps":        in("books" + strings.Repeat(".a", size/3)),
		"blocks":       strings.Repeat("fleet {\n", size/9),
		"templates":    in(strings.Repeat("\"${", size/4)),
		"huge number":  in("1e999999999"),
		"long number":  in(strings.Repeat("9", size/2)),
		"tiny number":  in("1e-999999999"),
		"no number":    in("1/0"),
		"doubling":     chain + "}\n" + in("1"),
		"text":         text + "}\n" + in("1"),
		"for for":      in("length([for a in " + thousand + ": [for b in " + thousand + ": [for c in " + thousand + ": 1]]])"),
		"long list":    in("length([" + strings.Repeat("1,", 5000) + "])"),
		"dynamic":      dynamic,
		"many":         books,
		"locals":       "locals {\n" + many("  a%d = 1\n", 5000) + "}\n" + in("1"),
		"errors":       "fleet {\n  requests { rate = 1 }\n" + many("  book \"b%d\" {}\n", 5000) + "}\n",
		"long line":    "# " + strings.Repeat("x", size/2) + "\nflete {}\n",
		"bytes":        "\xff\xfe\x00fleet { \x80 }",
		"heredoc":      "fleet {\n  priority = <<E\n${1}\nE\n}\n",
		"null":         in("null"),
		"nothing":      in("[for a in books : a][99]"),
		"object":       in("{a = 1}"),
		"conditional":  in("length(books) > 0 ? \"x\" : 1"),
		"own name":     "fleet {\n  dynamic \"book\" {\n    for_each = book.value\n    labels = [1, null, book.key]\n    content {}\n  }\n}\n",
		"unknown each": "fleet {\n  dynamic \"book\" {\n    for_each = local.none\n    labels = [book.key]\n    content { share = 1 }\n  }\n}\n",
	}
}

func many(line string, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, line, i)
	}
	return b.String()
}

// Whatever a text asks for, it is answered, and without much memory. An eighth of the longest text keeps this quick; work
// grows in line with the length: at the whole length 1 s and 290 MB for the worst.
func TestHostileTexts(t *testing.T) {
	for name, text := range hostile(maxSourceBytes / 8) {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			table, err := Compile("x.hcl", []byte(text), site)
			runtime.ReadMemStats(&after)
			if err == nil && len(table.Limits) > 1 {
				t.Errorf("taken, with %d limits", len(table.Limits))
			}
			if mb := (after.TotalAlloc - before.TotalAlloc) >> 20; mb > 200 {
				t.Errorf("%d MB", mb)
			}
		})
	}
}

// Any text is a table or errors, which can be printed, and a table comes back from its bytes.
func FuzzCompile(f *testing.F) {
	for _, text := range hostile(2000) {
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
		table, err := Compile("x.hcl", text, site)
		var wrong *Errors
		switch {
		case errors.As(err, &wrong):
			if err := wrong.Print(io.Discard); err != nil || wrong.Error() == "" || wrong.Count() == 0 {
				t.Fatal(err)
			}
		case err == nil:
			if _, err := ratelimit.Read(table.JSON()); err != nil {
				t.Fatal(err)
			}
		}
	})
}
