package spec

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

const validExperiment = `
length = "30s"
[fleet]
nodes = 6
boxes = 12
accept_fd = true
[[fault]]
at = "5s"
for = "2s"
do = "kill"
on = ["n1"]
[draw]
faults = 12
from = "8s"
until = "25s"
menu = ["kill", "pause", "restart", "upgrade", "crash", "vanish", "slow", "hang", "errors", "cut", "mute", "reset", "shape", "snip"]
`

// TestParseErrorNamesLineAndKey checks that the error for an invalid experiment begins with the line and the
// key of the invalid value.
func TestParseErrorNamesLineAndKey(t *testing.T) {
	fault := func(lines string) string { return "length = \"30s\"\n[[fault]]\nat = \"1s\"\n" + lines }
	for text, want := range map[string]string{
		"length = ":                     "x.toml:1: ",
		"length = 30":                   "x.toml:1: length: ",
		"length = \"30\"":               "x.toml:1: length: ",
		"length = \"1ms\"":              "x.toml:1: length: 1ms is not between",
		"length = \"30s\"\nlengths = 1": "x.toml:2: lengths: unknown key",
		"length = \"30s\"\n[fleet]\nnodes = 3\nboxs = 3":                                         "x.toml:4: fleet.boxs: unknown key",
		"length = \"30s\"\n[fleet]\nnodes = 301":                                                 "x.toml:3: fleet.nodes: ",
		"length = \"30s\"\n[fleet]\nnodes = 2\nzones = 3":                                        "x.toml:4: fleet.zones: ",
		"length = \"30s\"\n[load]\nrate = 5.0\nuse = 0.5":                                        "x.toml:3: load.rate: ",
		fault("do = \"explode\"\n"):                                                              "x.toml:4: fault.do: \"explode\" is not a fault",
		fault("do = \"kill\"\non = [\"n0\"]\n"):                                                  "x.toml:2: fault.for: kill needs a length",
		fault("do = \"kill\"\nfor = \"40s\"\non = [\"n0\"]\n"):                                   "x.toml:3: fault.at: the fault ends at 41s, after the run's length of 30s",
		fault("do = \"kill\"\nfor = \"1s\"\non = [\"n7\"]\n"):                                    "x.toml:6: fault.on: \"n7\" is no party of the experiment",
		fault("do = \"kill\"\nfor = \"1s\"\non = [\"s1\"]\n"):                                    "x.toml:6: fault.on: kill acts on a node",
		fault("do = \"slow\"\nfor = \"1s\"\non = [\"s1\"]\n"):                                    "x.toml:2: fault.times: slow needs this key",
		fault("do = \"cut\"\nfor = \"1s\"\non = [\"n0\"]\n"):                                     "x.toml:2: fault.to: ",
		fault("do = \"upgrade\"\non = [\"n0\"]\n"):                                               "x.toml:4: fault.do: an upgrade needs",
		fault("do = \"shape\"\nfor = \"1s\"\nrate = \"5 m\"\non = [\"n0\"]\nto = [\"boxes\"]\n"): "x.toml:6: fault.rate: \"5 m\" is not a rate",
		fault("do = \"kill\"\nfor = \"3s\"\non = [\"n0\"]\n[[fault]]\nat = \"2s\"\nfor = \"1s\"\ndo = \"pause\"\non = [\"nodes\"]\n"): "x.toml:8: fault.at: pause of n0 overlaps with its kill at 1s",
		"length = \"30s\"\n[bounds]\np99 = { \"ledger-view\" = \"5\" }":                                                               "x.toml:3: bounds.p99: ",
		"length = \"30s\"\n[bounds]\nclass = { \"nobody\" = 0.5 }":                                                                    "x.toml:3: bounds.class: ",
		"length = \"30s\"\n[bounds]\nserved = 1.5":                                                                                    "x.toml:3: bounds.served: ",
		"length = \"30s\"\n[draw]\nfaults = 3\nfrom = \"5s\"\nuntil = \"50s\"\nmenu = [\"kill\"]":                                     "x.toml:5: draw.until: ",
		"length = \"30s\"\n[draw]\nfaults = 3\nuntil = \"20s\"\nmenu = [\"move\"]":                                                    "x.toml:5: draw.menu: \"move\" can't be drawn",
	} {
		_, err := Parse("x.toml", text)
		if err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q gives\n%v\nwant\n%s", text, err, want)
		}
	}
}

// TestScheduleIsFixedBySeedAndFitsItsBounds checks that a seed always draws the same faults, that all faults
// are within their period, and that no two exclusive faults of one target overlap.
func TestScheduleIsFixedBySeedAndFitsItsBounds(t *testing.T) {
	e, err := Parse("x.toml", validExperiment)
	if err != nil {
		t.Fatal(err)
	}
	different := map[string]bool{}
	for seed := range uint64(300) {
		steps := e.Schedule(seed)
		if !reflect.DeepEqual(steps, e.Schedule(seed)) {
			t.Fatalf("seed %d draws two schedules", seed)
		}
		different[fmt.Sprint(steps)] = true
		for i, s := range steps {
			if s.At+s.For > e.Length || len(s.On) == 0 || (s.Do != "kill" && (s.At < e.Draw.From || s.At+s.For > e.Draw.Until)) {
				t.Errorf("seed %d: %+v", seed, s)
			}
			for _, o := range steps[:i] {
				shared := slices.ContainsFunc(s.On, func(p string) bool { return slices.Contains(o.On, p) })
				if shared && exclusive(s.Do) && exclusive(o.Do) && s.At < o.At+o.For {
					t.Errorf("seed %d: %s and %s at once", seed, s.Name, o.Name)
				}
			}
		}
	}
	if len(different) < 290 {
		t.Errorf("300 seeds draw %d schedules", len(different))
	}
}

// TestScheduleAndZonesOf300Nodes checks with 300 nodes that at least 190 of 200 faults are drawn without
// overlaps, and that a zone has a third of the parties.
func TestScheduleAndZonesOf300Nodes(t *testing.T) {
	e, err := Parse("x.toml", strings.NewReplacer("nodes = 6", "nodes = 300", "boxes = 12", "boxes = 200", "faults = 12", "faults = 200").Replace(validExperiment))
	if err != nil {
		t.Fatal(err)
	}
	if n := len(e.Schedule(1)); n < 190 {
		t.Errorf("%d faults are drawn of 200", n)
	}
	if got, _ := e.Parties([]string{"zone:okuryangava"}); len(got) != 166 {
		t.Errorf("a third of 500 parties is %d", len(got))
	}
}

// FuzzParse checks that Parse and Schedule don't panic.
func FuzzParse(f *testing.F) {
	f.Add(validExperiment)
	f.Add("length = \"30s\"\n[bounds]\nserved = 0.5\n")
	f.Fuzz(func(t *testing.T, text string) {
		if len(text) > 1<<12 {
			return
		}
		if e, err := Parse("x.toml", text); err == nil && time.Duration(e.Length) <= time.Minute {
			e.Schedule(1)
		}
	})
}
