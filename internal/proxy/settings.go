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

// minPreviousSettingsTime is the minimum time for which requests in the form of the previous settings are
// accepted: clients learn of a change at different times.
const minPreviousSettingsTime = 2 * time.Second

// optionalKeys are the keys of the settings that may be absent. Every other key of the running file has to be
// in a file that replaces it.
var optionalKeys = []string{
	"aim_stretch",
	"allowed_on",
	"failure_domains_open",
	"passes_deadline",
	"warm_keys",
}

// ReloadFile replaces the running configuration by the file at path. If the file is not valid, it changes
// nothing and returns the reason. It must not be called concurrently.
func (srv *Server) ReloadFile(path string) error {
	cfg, err := srv.loadAndCheck(path)
	if err != nil {
		srv.stats.sighupRejected.Add(1)
		return fmt.Errorf("config %s: %w", path, err)
	}
	srv.rawConfig = cfg.rawFile
	srv.Reload(cfg)
	return nil
}

// loadAndCheck reads the file and applies the checks of a reload.
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

// checkSettings rejects settings that a running proxy must not apply: a limit of attempts below 1, and
// classes without a name, with a repeated name or without a deadline.
func checkSettings(cfg Config) error {
	if n := cfg.Settings.MaxAttempts; n <= 0 &&
		lookupKey(cfg.rawFile, "settings", "caps", "max_attempts") != nil {
		return fmt.Errorf("settings: caps.max_attempts: %d: want 1 or more", n)
	}
	names := map[string]bool{}
	for _, c := range cfg.Settings.Classes {
		switch {
		case c.Name == "":
			return errors.New("settings: a class has no name")
		case names[c.Name]:
			return fmt.Errorf("settings: class %s is defined twice", c.Name)
		case c.Deadline <= 0:
			return fmt.Errorf("settings: class %s: give_up_ns: %d: want more than 0", c.Name, c.Deadline)
		}
		names[c.Name] = true
	}
	return nil
}

// missingKey returns an error that names a key of the running file that the next file lacks; nil if there is
// none. Each object of a list must have the keys that all objects of the running file's list have. Of the
// initial endpoints (known) only the key itself is required, because they are not a setting.
func missingKey(path string, running, next any) error {
	switch running := running.(type) {
	case map[string]any:
		object, ok := next.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is not an object", path)
		}
		return missingInObject(path, running, object)
	case []any:
		list, ok := next.([]any)
		if !ok {
			return fmt.Errorf("%s is not a list", path)
		}
		return missingInList(path, running, list)
	}
	return nil
}

// missingInObject is missingKey for two objects at path.
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

// missingInList is missingKey for two lists at path.
func missingInList(path string, running, next []any) error {
	if path == "settings.classes." && len(running) > 0 && len(next) == 0 {
		return errors.New("settings.classes is empty")
	}
	required := sharedKeys(running)
	if len(required) == 0 {
		return nil
	}
	for i, element := range next {
		if err := missingKey(fmt.Sprintf("%s%d.", path, i), required, element); err != nil {
			return err
		}
	}
	return nil
}

// sharedKeys returns the keys that all objects of a list have.
func sharedKeys(list []any) map[string]any {
	var keys map[string]any
	for _, element := range list {
		object, ok := element.(map[string]any)
		if !ok {
			return nil
		}
		if keys == nil {
			keys = maps.Clone(object)
		}
		maps.DeleteFunc(keys, func(key string, _ any) bool { return object[key] == nil })
	}
	return keys
}

// Reload applies the parts of a new configuration that may change while the proxy runs: the addresses of
// discovery or of the registry, and the settings.
func (srv *Server) Reload(cfg Config) {
	srv.post(func() {
		if !reflect.DeepEqual(cfg.Settings, srv.config.Settings) {
			srv.log.Info(
				"settings applied",
				"classes",
				len(cfg.Settings.Classes),
				"attempts",
				cfg.Settings.MaxAttempts,
			)
			srv.config.Settings = cfg.Settings
			srv.stats.addClasses(cfg.Settings.Classes)
			srv.pool.configure(cfg.Settings)
			srv.applySettings(newRequestRules(cfg.Settings, srv.frontend.rules.Load()))
		}
		srv.moveEndpointSource(cfg)
		srv.stats.sighupApplied.Add(1)
	})
}

// applySettings gives the balancer the proxy's settings and the frontend the rules derived from them, in one
// step of the loop, so that each request is opened either under the new or under the previous settings.
func (srv *Server) applySettings(next *requestRules) {
	srv.handle(balancer.SettingsChanged{Settings: srv.commitVariants(srv.config.Settings)})
	srv.frontend.rules.Store(next)
}

// requestRules are the rules, derived from the settings, by which the frontend accepts a request.
type requestRules struct {
	// settingsNumber grows by one each time the balancer is given settings. The balancer keeps the last two
	// settings.
	settingsNumber      int
	firstSettingsNumber int                             // the number at which these settings were first given
	idempotency         map[string]balancer.Idempotency // by class
	longestDeadline     time.Duration                   // of all classes
	previous            map[string]balancer.Idempotency // by class, under the previous settings
	previousUntil       time.Time                       // until when the previous form is accepted
}

// newRequestRules derives the rules from new settings. previous are the rules that they replace; nil at the
// start.
func newRequestRules(s balancer.Settings, previous *requestRules) *requestRules {
	r := &requestRules{idempotency: map[string]balancer.Idempotency{}}
	for _, c := range s.Classes {
		r.idempotency[c.Name] = c.Idempotency
		r.longestDeadline = max(r.longestDeadline, c.Deadline)
	}
	if previous != nil {
		r.settingsNumber = previous.settingsNumber + 1
		r.firstSettingsNumber = r.settingsNumber
		r.previous, r.previousUntil = previous.idempotency, time.Now().
			Add(max(minPreviousSettingsTime, previous.longestDeadline))
	}
	return r
}

// withNextNumber returns the rules for the case that the balancer is given the same settings again, with new
// route variants. The form of the previous settings is not accepted any more, because the balancer then no
// longer has those settings.
func (r *requestRules) withNextNumber() *requestRules {
	next := *r
	next.settingsNumber, next.previous = r.settingsNumber+1, nil
	return &next
}

// runsOnce reports whether requests of a class must not run again, by the present or the previous settings.
func (r *requestRules) runsOnce(class string) bool {
	present, known := r.idempotency[class]
	previous, wasKnown := r.previous[class]
	return known && present != balancer.Idempotent || wasKnown && previous != balancer.Idempotent
}

// settingsNumberFor returns the number of the previous settings if previous is true, otherwise of the present
// ones.
func (r *requestRules) settingsNumberFor(previous bool) int {
	if previous {
		return r.settingsNumber - 1
	}
	return r.settingsNumber
}

// matchForm checks a request's form, by calling checkRequest with the idempotency of its class. It returns
// true for previous if the form fits only the class of the previous settings and their form is still
// accepted. If the form fits neither, it returns the error for the present settings.
func (r *requestRules) matchForm(
	class string,
	checkRequest func(balancer.Idempotency) error,
) (previous bool, err error) {
	idempotency, known := r.idempotency[class]
	if known {
		if err = checkRequest(idempotency); err == nil {
			return false, nil
		}
	} else {
		err = badRequest("unknown X-Class %q", class)
	}
	if idempotency, known = r.previous[class]; known && checkRequest(idempotency) == nil &&
		time.Now().Before(r.previousUntil) {
		return true, nil
	}
	return false, err
}

// lookupKey returns the value under a path of keys in a decoded JSON object; nil if there is none.
func lookupKey(file any, keys ...string) any {
	for _, key := range keys {
		object, _ := file.(map[string]any)
		file = object[key]
	}
	return file
}

// decodeAny decodes a configuration file with all its keys, which missingKey compares with the next file's.
func decodeAny(raw []byte) (file any) {
	_ = json.Unmarshal(raw, &file) // can't fail: the same bytes have been decoded before
	return file
}
