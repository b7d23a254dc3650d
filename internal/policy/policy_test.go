package policy

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"wrenspread/ratelimit"
)

// testNames are the known names of the site in testdata/site.hcl.
var testNames = KnownNames{
	Sites: []string{"klein-windhoek", "southern-ind", "okuryangava"},
	Tenants: []string{"kalahari-core", "namib-factors", "oshana-credit", "erongo-trade", "kalahari-agri", "kunene-mining",
		"otjozondjupa-sme"},
	Classes: []Class{{Name: "ledger-view", PriorityWeight: 1}, {Name: "aging-report", PriorityWeight: 1, Work: 400 * time.Millisecond},
		{Name: "payment-post", PriorityWeight: 6}, {Name: "advance-release", PriorityWeight: 8}},
}

func readFile(t *testing.T, path string) []byte {
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Each policy in testdata/errors is faulty. Its diagnostics are compared with the golden file of the same
// name, which go test -update rewrites.
func TestDiagnosticsMatchGoldenFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/errors/*.hcl")
	if err != nil || len(files) < 15 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".hcl")
		t.Run(name, func(t *testing.T) {
			var faults *Errors
			if _, err := Compile(name+".hcl", readFile(t, f), testNames); !errors.As(err, &faults) {
				t.Fatalf("compiling a faulty policy returns %v, want *Errors", err)
			}
			var out bytes.Buffer
			if err := faults.Print(&out); err != nil {
				t.Fatal(err)
			}
			goldie.New(t, goldie.WithFixtureDir("testdata/errors"), goldie.WithNameSuffix(".txt")).Assert(t, name, out.Bytes())
		})
	}
}

// The example in the documentation is a valid policy.
func TestDocumentedExampleCompiles(t *testing.T) {
	_, rest, _ := strings.Cut(string(readFile(t, "../../docs/policy.md")), "```hcl\n")
	text, _, found := strings.Cut(rest, "```")
	if _, err := Compile("policy.md", []byte(text), testNames); err != nil || !found {
		t.Error(err)
	}
}

// The site's policy compiles to the expected rates at different times, whatever the file is called.
func TestSitePolicyCompilesToExpectedRates(t *testing.T) {
	text := readFile(t, "testdata/site.hcl")
	table, err := Compile("site.hcl", text, testNames)
	if err != nil {
		t.Fatal(err)
	}
	noon := func(day int) time.Time { return time.Date(2026, 1, day, 10, 0, 0, 0, time.UTC) }
	for _, want := range []struct {
		limit string
		at    time.Time
		ratelimit.Rates
	}{
		{"fleet", noon(5), ratelimit.Rates{Rate: 2400, Burst: 600}},
		{"fleet", noon(5).Add(11 * time.Hour), ratelimit.Rates{Rate: 1200, Burst: 600}}, // 23:00 operators' time
		{"fleet", noon(29), ratelimit.Rates{Rate: 3600, Burst: 600}},
		{"book/kalahari-core", noon(5), ratelimit.Rates{Rate: 2400, Burst: 600, Floor: 720}},
		{"book/kalahari-core", noon(29), ratelimit.Rates{Rate: 3600, Burst: 600, Floor: 1080}},
		{"book/kalahari-core:work", noon(29), ratelimit.Rates{Rate: 48000, Burst: 48000, Floor: 14400}},
		{"book/kunene-mining:open", noon(5), ratelimit.Rates{Rate: 3000, Floor: 150}},
		{"book/kunene-mining/class/aging-report", noon(29), ratelimit.Rates{Rate: 720, Burst: 600}},
		{"fleet:repeats", noon(29), ratelimit.Rates{Rate: 360, Burst: 360}},
		{"book/*", noon(5), ratelimit.Rates{Rate: 10, Burst: 10}},
	} {
		found := false
		for i, l := range table.Limits {
			if l.Name == want.limit {
				if found = true; table.RatesAt(i, want.at) != want.Rates {
					t.Errorf("limit %s at %v: rates %+v, want %+v", l.Name, want.at, table.RatesAt(i, want.at), want.Rates)
				}
			}
		}
		if !found {
			t.Errorf("table has no limit %s", want.limit)
		}
	}
	renamed, err := Compile("other-name.hcl", text, KnownNames{testNames.Sites, testNames.Tenants, nil, testNames.Classes})
	if err != nil || !bytes.Equal(renamed.JSON(), table.JSON()) {
		t.Errorf("compiling the same source under another name gives other bytes or error %v", err)
	}
	if back, err := ratelimit.Read(table.JSON()); err != nil || back.Digest != table.Digest {
		t.Error(err)
	}
}
