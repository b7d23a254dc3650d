package proxy

import (
	"bufio"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

const reloadConfig = `{"name":"n0","listen":"127.0.0.1:5000","discovery":"127.0.0.1:1","seed":"1f","limits":{"memory_mb":100,"sockets":512},
"known":{"index":41,"snapshot":true,"endpoints":[{"name":"s","address":"127.0.0.1:1"}]},
"settings":{"balancers":1,"caps":{"connect_timeout_ns":120000000,"max_attempts":4},"membership_mode":"pushed",
"classes":[{"name":"saldo","effect":"retryable","aim_ns":250000000,"give_up_ns":2000000000,"aim_stretch":1},
{"name":"pagar","effect":"fragile","aim_ns":250000000,"give_up_ns":2000000000}]}}`

// startWithConfigFile starts a proxy and applies reloadConfig to it. reread writes a configuration file and
// has the proxy reload it.
func startWithConfigFile(t *testing.T, servers ...string) (srv *runningProxy, reread func(config string) error) {
	t.Helper()
	srv = startProxy(t, servers...)
	file := strings.Replace(reloadConfig, "127.0.0.1:1\",\"seed", srv.config.Discovery+"\",\"seed", 1)
	cfg, err := parseConfig([]byte(file))
	if err != nil {
		t.Fatal(err)
	}
	srv.rawConfig = cfg.rawFile
	srv.Reload(cfg)
	path := filepath.Join(t.TempDir(), "config.json")
	return srv, func(config string) error {
		if err := os.WriteFile(path, []byte(strings.Replace(config, "127.0.0.1:1\",\"seed", srv.config.Discovery+"\",\"seed", 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		return srv.ReloadFile(path)
	}
}

// TestInvalidReloadChangesNothing: an invalid file is rejected with a reason and counted, and it does
// not change the settings.
func TestInvalidReloadChangesNothing(t *testing.T) {
	srv, reread := startWithConfigFile(t, refusingAddress(t))
	address := srv.serveControlRoutes(t)
	waitForStat(t, address, "app.sighup_applied:1|c")
	configWith := func(old, new string) string {
		if !strings.Contains(reloadConfig, old) {
			t.Fatalf("reloadConfig does not contain %s", old)
		}
		return strings.Replace(reloadConfig, old, new, 1)
	}
	bad := []struct{ config, want string }{
		{"", "unexpected end"},
		{reloadConfig[:len(reloadConfig)-2], "unexpected end"},
		{reloadConfig + "}", "after top-level value"},
		{configWith(`"seed":"1f",`, ""), "seed"},
		{configWith(`"limits":`, `"limit":`), "limits is missing"},
		{configWith(`"known":`, `"knew":`), "known is missing"},
		{configWith(`"settings":`, `"setting":`), "settings are missing"},
		{configWith(`"max_attempts":4`, `"max":4`), "max_attempts is missing"},
		{configWith(`"caps":{`, `"caps":null,"x":{`), "caps is missing"},
		{configWith(`,"give_up_ns":2000000000}`, `}`), "give_up_ns is missing"},
		{configWith(`"max_attempts":4`, `"max_attempts":0`), "max_attempts: 0: want 1 or more"},
		{configWith(`"max_attempts":4`, `"max_attempts":-1`), "max_attempts: -1: want 1 or more"},
		{configWith(`"max_attempts":4`, `"max_attempts":"4"`), "cannot unmarshal"},
		{configWith(`"max_attempts":4`, `"max_attempts":NaN`), "invalid character"},
		{configWith(`"give_up_ns":2000000000`, `"give_up_ns":0`), "give_up_ns: 0: want more than 0"},
		{configWith(`"give_up_ns":2000000000`, `"give_up_ns":-5`), "give_up_ns: -5: want more than 0"},
		{configWith(`"give_up_ns":2000000000`, `"give_up_ns":"soon"`), "cannot unmarshal"},
		{configWith(`"give_up_ns":2000000000`, `"give_up_ns":null`), "give_up_ns is missing"},
		{configWith(`"pagar"`, `"saldo"`), "is defined twice"},
		{configWith(`"pagar"`, `""`), "no name"},
		{configWith(`"classes":[`, `"classes":[],"x":[`), "classes is empty"},
		{configWith(`"classes":[`, `"classes":4,"x":[`), "cannot unmarshal"},
	}
	for _, c := range bad {
		if err := reread(c.config); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("error %v, want one line with %q", err, c.want)
		}
	}
	if err := srv.ReloadFile(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("rereading a missing file gives no error")
	}
	srv.post(func() {
		if len(srv.config.Settings.Classes) != 2 || srv.config.Settings.MaxAttempts != 4 {
			t.Errorf("settings are now %+v", srv.config.Settings)
		}
	})
	waitForStat(t, address, "app.sighup_applied:1|c")
	if rejected := srv.stats.sighupRejected.Load(); rejected != int64(len(bad)+1) {
		t.Errorf("%d files counted as rejected, want %d", rejected, len(bad)+1)
	}
	if err := reread(configWith(`,"aim_stretch":1`, "")); err != nil {
		t.Errorf("rereading a file without an optional key: %v", err)
	}
	waitForStat(t, address, "app.sighup_applied:2|c")
}

// TestReloadAppliesClassesAndAcceptsPreviousForm: a reload adds a class, removes a class and changes
// the idempotency of a third class. Requests in the form that fits the previous settings are accepted until
// previousUntil, and rejected later.
func TestReloadAppliesClassesAndAcceptsPreviousForm(t *testing.T) {
	srv, reread := startWithConfigFile(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			besteffort.Output(io.WriteString(c, okResponse))
		}
	}))
	address := srv.serveControlRoutes(t)
	waitForStat(t, address, "app.sighup_applied:1|c")
	changedConfig := strings.Replace(reloadConfig, `"pagar"`, `"girar"`, 1)
	changedConfig = strings.Replace(changedConfig, `"retryable"`, `"dedup","key_scope":"all"`, 1)
	if err := reread(changedConfig); err != nil {
		t.Fatal(err)
	}
	waitForStat(t, address, "app.sighup_applied:2|c")
	for _, line := range []string{"app.results.girar.succeeded:0|c", "app.results.pagar.succeeded:0|c"} {
		waitForStat(t, address, line)
	}
	statusOf := func(method, class, key string) int {
		req := srv.request(t, method, class, method+class+key, "20", strings.NewReader(""))
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		return do(t, req).status
	}
	for _, c := range []struct {
		method, class, key  string
		wantSoon, wantLater int
	}{
		{"POST", "girar", "", 200, 200}, {"POST", "saldo", "k", 200, 200},
		{"GET", "saldo", "", 200, 405}, {"POST", "pagar", "", 200, 400}, {"GET", "girar", "", 405, 405},
	} {
		srv.do(func() {
			r := *srv.frontend.rules.Load()
			r.previousUntil = r.previousUntil.Add(testTimeout)
			srv.frontend.rules.Store(&r)
		})
		if status := statusOf(c.method, c.class, c.key); status != c.wantSoon {
			t.Errorf("%s %s before previousUntil: %d, want %d", c.method, c.class, status, c.wantSoon)
		}
		srv.do(func() {
			r := *srv.frontend.rules.Load()
			r.previousUntil = r.previousUntil.Add(-1000 * testTimeout)
			srv.frontend.rules.Store(&r)
		})
		if status := statusOf(c.method, c.class, c.key); status != c.wantLater {
			t.Errorf("%s %s after previousUntil: %d, want %d", c.method, c.class, status, c.wantLater)
		}
		srv.do(func() {
			r := *srv.frontend.rules.Load()
			r.previousUntil = r.previousUntil.Add(1000 * testTimeout)
			srv.frontend.rules.Store(&r)
		})
	}
	waitForStat(t, address, "app.results.pagar.succeeded:1|c")
}

// TestReloadKeepsStartConfiguration: a reload applies the settings of the file. It does not apply its name,
// addresses and limits, which a process keeps from its start.
func TestReloadKeepsStartConfiguration(t *testing.T) {
	srv, reread := startWithConfigFile(t, okServer(t))
	change := strings.NewReplacer(`"n0"`, `"n9"`, `"127.0.0.1:5000"`, `"127.0.0.1:1"`, `512`, `64`, `"max_attempts":4`, `"max_attempts":2`)
	if err := reread(change.Replace(reloadConfig)); err != nil {
		t.Fatal(err)
	}
	srv.runOnLoop(t, func() {})
	if a := do(t, srv.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 {
		t.Errorf("response %+v, want 200", a)
	}
	srv.do(func() {
		if srv.config.Settings.MaxAttempts != 2 || srv.config.Name != "n0" || srv.config.MaxDescriptors != 512 || srv.frontend.maxConnections < 100 {
			t.Errorf("the configuration is %+v", srv.config)
		}
	})
	if err := srv.ReloadFile(t.TempDir()); err == nil {
		t.Error("rereading a directory gives no error")
	}
}

// TestServesWhenSettingsAllowLoadQueries: a proxy can't send load queries. Its balancer must not wait for
// their answers, even if the settings allow load queries.
func TestServesWhenSettingsAllowLoadQueries(t *testing.T) {
	srv, reread := startWithConfigFile(t, okServer(t))
	if err := reread(strings.Replace(reloadConfig, `"caps":{`, `"report":{"how":"probe"},"caps":{"probes":true,`, 1)); err != nil {
		t.Fatal(err)
	}
	srv.runOnLoop(t, func() {})
	if a := do(t, srv.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 {
		t.Errorf("response %+v, want 200", a)
	}
}

// TestPreviousFormUsesPreviousClass: a request whose form fits only the class of the previous settings is
// accepted as a request of that class.
func TestPreviousFormUsesPreviousClass(t *testing.T) {
	r := newRequestRules(balancer.Settings{Classes: []balancer.Class{{Name: "a", Idempotency: balancer.NotIdempotent}}},
		&requestRules{idempotency: map[string]balancer.Idempotency{"a": balancer.Idempotent, "b": balancer.Idempotent}})
	wantIdempotency := func(want balancer.Idempotency) func(balancer.Idempotency) error {
		return func(e balancer.Idempotency) error {
			if e == want {
				return nil
			}
			return badRequest("no")
		}
	}
	for _, c := range []struct {
		class    string
		form     balancer.Idempotency
		previous bool
		accepted bool
	}{{"a", balancer.NotIdempotent, false, true}, {"a", balancer.Idempotent, true, true}, {"a", balancer.IdempotentByKey, false, false}, {"b", balancer.Idempotent, true, true},
		{"c", balancer.Idempotent, false, false}} {
		previous, err := r.matchForm(c.class, wantIdempotency(c.form))
		if previous != c.previous || (err == nil) != c.accepted {
			t.Errorf("class %s in form %d: previous %v, error %v", c.class, c.form, previous, err)
		}
	}
}
