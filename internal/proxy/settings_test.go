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

// startWithConfigFile starts a proxy with reloadConfig, and returns a function that writes another
// configuration file and rereads it.
func startWithConfigFile(t *testing.T, servers ...string) (n *running, reread func(config string) error) {
	t.Helper()
	n = startNode(t, servers...)
	file := strings.Replace(reloadConfig, "127.0.0.1:1\",\"seed", n.config.Discovery+"\",\"seed", 1)
	cfg, err := parseConfig([]byte(file))
	if err != nil {
		t.Fatal(err)
	}
	n.rawConfig = cfg.rawFile
	n.Reload(cfg)
	path := filepath.Join(t.TempDir(), "config.json")
	return n, func(config string) error {
		if err := os.WriteFile(path, []byte(strings.Replace(config, "127.0.0.1:1\",\"seed", n.config.Discovery+"\",\"seed", 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		return n.ReloadFile(path)
	}
}

// TestInvalidReloadChangesNothing: an invalid file is rejected with a reason, is counted, and changes
// nothing.
func TestInvalidReloadChangesNothing(t *testing.T) {
	n, reread := startWithConfigFile(t, refusing(t))
	address := n.operate(t)
	figure(t, address, "app.sighup_applied:1|c")
	swap := func(old, new string) string {
		if !strings.Contains(reloadConfig, old) {
			t.Fatalf("the file has no %s", old)
		}
		return strings.Replace(reloadConfig, old, new, 1)
	}
	bad := []struct{ config, want string }{
		{"", "unexpected end"},
		{reloadConfig[:len(reloadConfig)-2], "unexpected end"},
		{reloadConfig + "}", "after top-level value"},
		{swap(`"seed":"1f",`, ""), "seed"},
		{swap(`"limits":`, `"limit":`), "limits is missing"},
		{swap(`"known":`, `"knew":`), "known is missing"},
		{swap(`"settings":`, `"setting":`), "settings are missing"},
		{swap(`"max_attempts":4`, `"max":4`), "max_attempts is missing"},
		{swap(`"caps":{`, `"caps":null,"x":{`), "caps is missing"},
		{swap(`,"give_up_ns":2000000000}`, `}`), "give_up_ns is missing"},
		{swap(`"max_attempts":4`, `"max_attempts":0`), "max_attempts: 0: want 1 or more"},
		{swap(`"max_attempts":4`, `"max_attempts":-1`), "max_attempts: -1: want 1 or more"},
		{swap(`"max_attempts":4`, `"max_attempts":"4"`), "cannot unmarshal"},
		{swap(`"max_attempts":4`, `"max_attempts":NaN`), "invalid character"},
		{swap(`"give_up_ns":2000000000`, `"give_up_ns":0`), "give_up_ns: 0: want more than 0"},
		{swap(`"give_up_ns":2000000000`, `"give_up_ns":-5`), "give_up_ns: -5: want more than 0"},
		{swap(`"give_up_ns":2000000000`, `"give_up_ns":"soon"`), "cannot unmarshal"},
		{swap(`"give_up_ns":2000000000`, `"give_up_ns":null`), "give_up_ns is missing"},
		{swap(`"pagar"`, `"saldo"`), "is defined twice"},
		{swap(`"pagar"`, `""`), "no name"},
		{swap(`"classes":[`, `"classes":[],"x":[`), "classes is empty"},
		{swap(`"classes":[`, `"classes":4,"x":[`), "cannot unmarshal"},
	}
	for _, c := range bad {
		if err := reread(c.config); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("error %v, want one line with %q", err, c.want)
		}
	}
	if err := n.ReloadFile(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("rereading a missing file gives no error")
	}
	n.post(func() {
		if len(n.config.Settings.Classes) != 2 || n.config.Settings.MaxAttempts != 4 {
			t.Errorf("settings are now %+v", n.config.Settings)
		}
	})
	figure(t, address, "app.sighup_applied:1|c")
	if rejected := n.stats.sighupRejected.Load(); rejected != int64(len(bad)+1) {
		t.Errorf("%d files counted as rejected, want %d", rejected, len(bad)+1)
	}
	if err := reread(swap(`,"aim_stretch":1`, "")); err != nil {
		t.Errorf("without a key that may be absent: %v", err)
	}
	figure(t, address, "app.sighup_applied:2|c")
}

// TestReloadAppliesClassesAndAcceptsPreviousForm: a reload adds a class, removes one and changes the
// idempotency of one. Requests in the previous form are accepted for a while, and rejected later.
func TestReloadAppliesClassesAndAcceptsPreviousForm(t *testing.T) {
	n, reread := startWithConfigFile(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			besteffort.Output(io.WriteString(c, okAnswer))
		}
	}))
	address := n.operate(t)
	figure(t, address, "app.sighup_applied:1|c")
	next := strings.Replace(reloadConfig, `"pagar"`, `"girar"`, 1)
	next = strings.Replace(next, `"retryable"`, `"dedup","key_scope":"all"`, 1)
	if err := reread(next); err != nil {
		t.Fatal(err)
	}
	figure(t, address, "app.sighup_applied:2|c")
	for _, line := range []string{"app.results.girar.succeeded:0|c", "app.results.pagar.succeeded:0|c"} {
		figure(t, address, line)
	}
	ask := func(method, class, key string) int {
		req := n.request(t, method, class, method+class+key, "20", strings.NewReader(""))
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		return do(t, req).status
	}
	for _, c := range []struct {
		method, class, key string
		while, later       int
	}{
		{"POST", "girar", "", 200, 200}, {"POST", "saldo", "k", 200, 200},
		{"GET", "saldo", "", 200, 405}, {"POST", "pagar", "", 200, 400}, {"GET", "girar", "", 405, 405},
	} {
		n.post(func() {
			r := *n.frontend.rules.Load()
			r.previousUntil = r.previousUntil.Add(enough)
			n.frontend.rules.Store(&r)
		})
		if status := ask(c.method, c.class, c.key); status != c.while {
			t.Errorf("%s %s soon after: %d, want %d", c.method, c.class, status, c.while)
		}
		expired := make(chan bool)
		n.post(func() {
			r := *n.frontend.rules.Load()
			r.previousUntil = r.previousUntil.Add(-1000 * enough)
			n.frontend.rules.Store(&r)
			close(expired)
		})
		<-expired
		if status := ask(c.method, c.class, c.key); status != c.later {
			t.Errorf("%s %s long after: %d, want %d", c.method, c.class, status, c.later)
		}
		n.post(func() {
			r := *n.frontend.rules.Load()
			r.previousUntil = r.previousUntil.Add(1000 * enough)
			n.frontend.rules.Store(&r)
		})
	}
	figure(t, address, "app.results.pagar.succeeded:1|c")
}

// TestReloadKeepsStartConfiguration: a reload applies the file's settings, but neither its name, addresses
// nor limits, which a process has from its start.
func TestReloadKeepsStartConfiguration(t *testing.T) {
	n, reread := startWithConfigFile(t, serving(t))
	other := strings.NewReplacer(`"n0"`, `"n9"`, `"127.0.0.1:5000"`, `"127.0.0.1:1"`, `512`, `64`, `"max_attempts":4`, `"max_attempts":2`)
	if err := reread(other.Replace(reloadConfig)); err != nil {
		t.Fatal(err)
	}
	n.runOnLoop(t, func() {})
	if a := do(t, n.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 {
		t.Errorf("answer %+v", a)
	}
	n.do(func() {
		if n.config.Settings.MaxAttempts != 2 || n.config.Name != "n0" || n.config.MaxDescriptors != 512 || n.frontend.maxConnections < 100 {
			t.Errorf("the configuration is %+v", n.config)
		}
	})
	if err := n.ReloadFile(t.TempDir()); err == nil {
		t.Error("rereading a directory gives no error")
	}
}

// TestServesWhereLoadQueriesAreAllowed: a proxy can't send load queries, so its balancer must not wait for
// answers to them, even if the settings allow them.
func TestServesWhereLoadQueriesAreAllowed(t *testing.T) {
	n, reread := startWithConfigFile(t, serving(t))
	if err := reread(strings.Replace(reloadConfig, `"caps":{`, `"report":{"how":"probe"},"caps":{"probes":true,`, 1)); err != nil {
		t.Fatal(err)
	}
	n.runOnLoop(t, func() {})
	if a := do(t, n.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 {
		t.Errorf("answer %+v", a)
	}
}

// TestPreviousFormUsesPreviousClass: a request whose form fits only the previous settings' class is accepted
// under that class.
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
		former   bool
		accepted bool
	}{{"a", balancer.NotIdempotent, false, true}, {"a", balancer.Idempotent, true, true}, {"a", balancer.IdempotentByKey, false, false}, {"b", balancer.Idempotent, true, true},
		{"c", balancer.Idempotent, false, false}} {
		previous, err := r.matchForm(c.class, wantIdempotency(c.form))
		if previous != c.former || (err == nil) != c.accepted {
			t.Errorf("class %s in form %d: previous %v, error %v", c.class, c.form, previous, err)
		}
	}
}
