package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/spf13/pflag"
)

type inner struct {
	A int `koanf:"a"`
	B int `koanf:"b"`
}

type config struct {
	Name      string        `koanf:"name"`
	Wait      time.Duration `koanf:"wait"`
	Inner     inner         `koanf:"in"`
	List      []inner       `koanf:"all"`
	Unchanged []string      `koanf:"kept"`
}

// load loads a configuration with defaults from a file with this text and from flags.
func load(t *testing.T, text string, args ...string) (config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "c.toml")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	flags := pflag.NewFlagSet("x", pflag.ContinueOnError)
	flags.String(FileFlag, "", "")
	flags.String("name", "", "")
	if err := flags.Parse(append([]string{"--" + FileFlag, path}, args...)); err != nil {
		t.Fatal(err)
	}
	c := config{Name: "default", Wait: time.Second, Inner: inner{1, 2}, List: []inner{{1, 1}, {2, 2}}, Unchanged: []string{"x"}}
	return c, Load(&c, flags)
}

// TestLoadOverridesDefaultsByFileAndFlags: a key that the file does not have keeps its default, a list
// replaces the default list, and flags override the file. An error mentions the key or the file that is
// wrong.
func TestLoadOverridesDefaultsByFileAndFlags(t *testing.T) {
	got, err := load(t, "name = \"file\"\nwait = \"2m\"\n[in]\na = 9\n[[all]]\nb = 7\n", "--name", "flag")
	want := config{Name: "flag", Wait: 2 * time.Minute, Inner: inner{9, 2}, List: []inner{{0, 7}}, Unchanged: []string{"x"}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v, want %+v", got, err, want)
	}
	for text, mentioned := range map[string]string{"nme = \"x\"": "nme", "name = ": "c.toml", "wait = 5": "wait", "[in]\nc = 1": "c"} {
		if _, err := load(t, text); err == nil || !strings.Contains(err.Error(), mentioned) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
