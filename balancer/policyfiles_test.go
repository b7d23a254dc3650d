package balancer

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const (
	maxFileLines = 250
	maxLineWidth = 110 // characters
)

// sharedFiles contain the interface, and state and lookups that the decisions share. Every other file makes
// decisions.
var sharedFiles = []string{
	"actions.go", "balancer.go", "discovery.go", "endpoint.go", "events.go", "learned.go", "loadmessage.go", "maintenance.go",
	"peers.go", "placement.go", "request.go", "ring.go", "settings.go",
}

// decisionFilesElsewhere are the decision files outside this package.
var decisionFilesElsewhere = []string{"ratelimit/admit.go"}

// The policy key of the deploy file must name exactly the files that make decisions.
func TestDeployFileNamesAllDecisionFiles(t *testing.T) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Policy []string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	decides := slices.Clone(decisionFilesElsewhere)
	for _, file := range sourceFiles(t) {
		if !slices.Contains(sharedFiles, file) {
			decides = append(decides, "balancer/"+file)
		}
	}
	slices.Sort(decides)
	if slices.Sort(deploy.Policy); !slices.Equal(decides, deploy.Policy) {
		t.Errorf("the decision files are %q; deploy/balancer.toml names %q", decides, deploy.Policy)
	}
}

// Files must be short enough to be read during an incident, and the package comment must list every decision
// file.
func TestFilesAreShortAndInThePackageComment(t *testing.T) {
	overview, err := os.ReadFile("balancer.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range sourceFiles(t) {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
		if len(lines) > maxFileLines {
			t.Errorf("%s: %d lines, at most %d", file, len(lines), maxFileLines)
		}
		for i, line := range lines {
			if n := len([]rune(line)); n > maxLineWidth {
				t.Errorf("%s: line %d is %d characters long, at most %d", file, i+1, n, maxLineWidth)
			}
		}
		if !slices.Contains(sharedFiles, file) && !strings.Contains(string(overview), "\n//\t"+file+" ") {
			t.Errorf("%s: the package comment in balancer.go must name it", file)
		}
	}
}

func sourceFiles(t *testing.T) (files []string) {
	t.Helper()
	all, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range all {
		if !strings.HasSuffix(file, "_test.go") {
			files = append(files, file)
		}
	}
	return files
}
