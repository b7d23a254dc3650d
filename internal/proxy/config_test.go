package proxy

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:5000","discovery":"127.0.0.1:8500","seed":"fc1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":100,"sockets":512},"peers":[],"peer_listen":"127.0.0.1:7000","fleet":{"name":"windhoek","join":["127.0.0.1:7001"],"period_ms":200},
"known":{"index":41,"snapshot":true,"endpoints":[{"name":"s","address":"127.0.0.1:1","status":"ready"}]},
"settings":{"balancers":5,"slot_no":3,"caps":{"connect_timeout_ns":120000000,"max_attempts":4},
"classes":[{"name":"saldo","effect":"retryable","aim_ns":250000000}],"membership_mode":"pushed"}}`

func TestLoadConfigReadsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := LoadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.1:5000" || c.Discovery != "127.0.0.1:8500" || c.MaxDescriptors != 512 || c.MemoryMB != 100 ||
		uint64(c.Seed) != 0xfc1f30d27a5be964 || c.initialList.Index != 41 || len(c.initialList.Endpoints) != 1 ||
		c.Settings.ProxyIndex != 3 || c.Settings.ConnectTimeout != 120*time.Millisecond || c.Settings.Classes[0].Name != "saldo" {
		t.Errorf("loaded %+v", c)
	}
	if _, err := LoadConfig(path + "x"); err == nil {
		t.Error("loading a missing file gives no error")
	}
}

func TestInvalidConfigErrorNamesTheKey(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{validConfig, "", "unexpected end"},
		{validConfig, "[]", "cannot unmarshal"},
		{`"settings"`, `"other"`, "settings are missing"},
		{`"pushed"`, `"odd"`, "membership_mode"},
		{`"retryable"`, `"odd"`, "unknown effect"},
		{`"127.0.0.1:5000"`, `"127.0.0.1"`, "listen"},
		{`"127.0.0.1:8500"`, `""`, "discovery"},
		{`"fc1f30d27a5be964"`, `"seed"`, "seed"},
		{`512`, `8`, "sockets"},
		{`"windhoek"`, `""`, "fleet: name"},
		{`"windhoek"`, `"` + strings.Repeat("w", 49) + `"`, "fleet: name"},
		{`"127.0.0.1:7001"`, `"n1:7001"`, "fleet: join.0"},
		{`"127.0.0.1:7000"`, `"0.0.0.0:7000"`, "fleet: peer_listen"},
		{`"127.0.0.1:7000"`, `""`, "fleet: peer_listen"},
		{`:200`, `:19`, "fleet: period_ms"},
		{`:200`, `:200,"address":"[::1]:7000"`, "fleet: address"},
		{`"n3"`, `"n 3"`, "member's name"},
	} {
		_, err := parseConfig([]byte(strings.Replace(validConfig, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s instead of %s: error %v, want one line with %q", c.new, c.old, err, c.want)
		}
	}
}
