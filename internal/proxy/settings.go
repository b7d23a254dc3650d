package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"time"

	"wrenspread/balancer"
)

// minPreviousForm is how long requests in the form of the settings before are
// taken, at least: clients learn of a change at their own time.
const minPreviousForm = 2 * time.Second

// optionalKeys of the settings may be absent, as the wire's page says.
var optionalKeys = []string{
	"aim_stretch",
	"allowed_on",
	"failure_domains_open",
	"passes_deadline",
	"warm_keys",
}

// Reread takes the file at path over the running configuration, or turns it
// down whole and says why. It is for one goroutine.
func (srv *Server) Reread(path string) error {
	cfg, err := srv.loadAndCheck(path)
	if err != nil {
		srv.stats.sighupRejected.Add(1)
		return fmt.Errorf("config %s: %w", path, err)
	}
	srv.rawConfig = cfg.rawFile
	srv.Reload(cfg)
	return nil
}

func (srv *Server) loadAndCheck(path string) (Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	cfg, err := parseConfig(raw)
	if err != nil {
		return Config{}, err
	}
	if err := missingKey("", srv.rawConfig, cfg.rawFile); err != nil {
		return Config{}, err
	}
	return cfg, checkSettings(cfg)
}

// checkSettings turns down what a running proxy could not keep its rules with.
func checkSettings(cfg Config) error {
	if n := cfg.Settings.MaxAttempts; n <= 0 && member(cfg.rawFile, "settings", "caps", "max_attempts") != nil {
		return fmt.Errorf("settings: caps.max_attempts: %d is no number of attempts", n)
	}
	names := map[string]bool{}
	for _, c := range cfg.Settings.Classes {
		switch {
		case c.Name == "":
			return errors.New("settings: a class has no name")
		case names[c.Name]:
			return fmt.Errorf("settings: class %s comes twice", c.Name)
		case c.Deadline <= 0:
			return fmt.Errorf("settings: class %s: give_up_ns: %d is no deadline", c.Name, c.Deadline)
		}
		names[c.Name] = true
	}
	return nil
}

// missingKey returns an error that names a key of the running file that another one lacks. Of a list of
// objects each must have the keys that all have in the running file. The endpoints at the start are no
// setting: only their key must be there.
func missingKey(path string, running, next any) error {
	switch running := running.(type) {
	case map[string]any:
		object, ok := next.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is no object", path)
		}
		return missingInObject(path, running, object)
	case []any:
		list, ok := next.([]any)
		if !ok {
			return fmt.Errorf("%s is no list", path)
		}
		return missingInList(path, running, list)
	}
	return nil
}

func missingInObject(path string, running, next map[string]any) error {
	for _, key := range slices.Sorted(maps.Keys(running)) {
		if running[key] == nil || slices.Contains(optionalKeys, key) {
			continue
		}
		if next[key] == nil {
			return fmt.Errorf("%s%s is missing", path, key)
		}
		if path == "" && key == "known" {
			continue
		}
		if err := missingKey(path+key+".", running[key], next[key]); err != nil {
			return err
		}
	}
	return nil
}

func missingInList(path string, running, next []any) error {
	if path == "settings.classes." && len(running) > 0 && len(next) == 0 {
		return errors.New("settings.classes has none")
	}
	shared := sharedKeys(running)
	if len(shared) == 0 {
		return nil
	}
	for i, element := range next {
		if err := missingKey(fmt.Sprintf("%s%d.", path, i), shared, element); err != nil {
			return err
		}
	}
	return nil
}

// sharedKeys returns the keys that all objects of a list have.
func sharedKeys(list []any) map[string]any {
	var shared map[string]any
	for _, e := range list {
		o, ok := e.(map[string]any)
		if !ok {
			return nil
		}
		if shared == nil {
			shared = maps.Clone(o)
		}
		maps.DeleteFunc(shared, func(key string, _ any) bool { return o[key] == nil })
	}
	return shared
}

// Reload takes what may change under a running proxy from a new configuration:
// the address of discovery and the settings.
func (srv *Server) Reload(cfg Config) {
	srv.post(func() {
		if !reflect.DeepEqual(cfg.Settings, srv.config.Settings) {
			srv.log.Info("new settings", "classes", len(cfg.Settings.Classes), "attempts", cfg.Settings.MaxAttempts)
			srv.config.Settings = cfg.Settings
			srv.stats.add(cfg.Settings.Classes)
			srv.pool.configure(cfg.Settings)
			srv.applySettings(newRules(cfg.Settings, srv.frontend.rules.Load()))
		}
		srv.moveEndpointSource(cfg)
		srv.stats.sighupApplied.Add(1)
	})
}

// applySettings gives the balancer the proxy's settings and the frontend their rules, in one step of the
// loop: each request that it opens has either these or those before.
func (srv *Server) applySettings(next *requestRules) {
	srv.handle(balancer.SettingsChanged{Settings: srv.withVariants(srv.config.Settings)})
	srv.frontend.rules.Store(next)
}

// requestRules is what the front must know of the settings to take a request.
type requestRules struct {
	// one more each time that the balancer is given settings: it knows the last two
	number          int
	firstNumber     int                             // the number with which the settings first came
	idempotency     map[string]balancer.Idempotency // of the classes
	longestDeadline time.Duration                   // deadline of a class
	previous        map[string]balancer.Idempotency // of the settings before
	previousUntil   time.Time
}

func newRules(s balancer.Settings, before *requestRules) *requestRules {
	r := &requestRules{idempotency: map[string]balancer.Idempotency{}}
	for _, c := range s.Classes {
		r.idempotency[c.Name] = c.Idempotency
		r.longestDeadline = max(r.longestDeadline, c.Deadline)
	}
	if before != nil {
		r.number = before.number + 1
		r.firstNumber = r.number
		r.previous, r.previousUntil = before.idempotency, time.Now().
			Add(max(minPreviousForm, before.longestDeadline))
	}
	return r
}

// renumbered is for the same settings, given once more.
func (r *requestRules) renumbered() *requestRules {
	next := *r
	next.number, next.previous = r.number+1, nil
	return &next
}

// numberFor is the number of the settings of which a request has the form.
func (r *requestRules) numberFor(former bool) int {
	if former {
		return r.number - 1
	}
	return r.number
}

// idempotencyOf finds what a repeat of a request would do: by its class, or by that
// class as it was, where only that agrees with the request's form.
func (r *requestRules) idempotencyOf(
	class string,
	fits func(balancer.Idempotency) error,
) (former bool, err error) {
	effect, known := r.idempotency[class]
	if known {
		if err = fits(effect); err == nil {
			return false, nil
		}
	} else {
		err = badRequest("unknown X-Class %q", class)
	}
	if effect, known = r.previous[class]; known && fits(effect) == nil && time.Now().Before(r.previousUntil) {
		return true, nil
	}
	return false, err
}

// member finds a value under keys, one inside the other; nil if there is none.
func member(file any, keys ...string) any {
	for _, key := range keys {
		o, _ := file.(map[string]any)
		file = o[key]
	}
	return file
}

// decodeAny keeps a file's keys, to compare the next one with.
func decodeAny(raw []byte) (file any) {
	_ = json.Unmarshal(raw, &file) // it has been read once without an error
	return file
}
