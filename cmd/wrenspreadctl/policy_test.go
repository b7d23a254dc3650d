package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wrenspread/ratelimit"
)

// TestPolicyCheckPrintsTableOrErrors: "policy check" prints the table as proxies read it. If the policy has
// errors, it prints them and fails.
func TestPolicyCheckPrintsTableOrErrors(t *testing.T) {
	run := func(args ...string) (string, string, error) {
		var out, errs bytes.Buffer
		c := root()
		c.SilenceUsage, c.SilenceErrors = true, true
		c.SetOut(&out)
		c.SetErr(&errs)
		c.SetArgs(append([]string{"policy", "check"}, args...))
		err := c.Execute()
		return out.String(), errs.String(), err
	}
	names := filepath.Join(t.TempDir(), "names.json")
	if err := os.WriteFile(names, []byte(`{"books":["kalahari-core"],"classes":[{"name":"aging-report","work_ms":400}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	site := "../../internal/policy/testdata/site.hcl"
	out, _, err := run(site, "--json")
	if err != nil {
		t.Fatal(err)
	}
	table, err := ratelimit.Read([]byte(strings.TrimSpace(out)))
	if err != nil {
		t.Fatal(err)
	}
	if out, _, err := run(site, "--limits"); err != nil || !strings.Contains(out, "digest "+table.Digest) {
		t.Error(out, err)
	}
	if _, errs, err := run(site, "--settings", names); err == nil || !strings.Contains(errs, `no book "erongo-trade"`) {
		t.Error(errs, err)
	}
}
