package controller

import (
	"time"

	"wrenspread/internal/config"
)

// Config configures a controller process.
type Config struct {
	Process    string        `koanf:"process"` // name of this process, the same over its restarts
	Registry   []string      `koanf:"list"`    // addresses of the registry's replicas
	Listen     string        `koanf:"listen"`  // for /report, /healthz and /metrics
	Every      time.Duration `koanf:"every"`   // between two comparisons
	Repair     bool          `koanf:"repair"`  // false: it only reports
	Proxies    []Proxy       `koanf:"node"`    // that are compared
	Quotas     Quotas        `koanf:"shares"`  // without a fleet this process allocates no limits
	Thresholds `koanf:",squash"`
}

// Proxy is a proxy that is compared with the registry.
type Proxy struct {
	Name    string `koanf:"name"`
	Control string `koanf:"control"` // its control address
}

// Default returns the configuration but for names and addresses.
func Default() Config {
	return Config{
		Listen:     "127.0.0.1:8700",
		Every:      5 * time.Second,
		Repair:     true,
		Thresholds: Thresholds{Settle: 15 * time.Second, Orphan: 5 * time.Minute},
	}
}

const minInterval = 100 * time.Millisecond // between two comparisons

// Check returns all that is wrong with a configuration, by its keys.
func (c Config) Check() error {
	var problems config.Problems
	problems.Require(c.Process != "", "process: missing; it names this process, the same over its restarts")
	problems.Require(len(c.Registry) > 0, "list: missing; it has the addresses of the registry")
	for _, address := range c.Registry {
		problems.RequireAddress("list", address)
	}
	problems.RequireAddress("listen", c.Listen)
	problems.Require(c.Every >= minInterval, "every: %v is under %v", c.Every, minInterval)
	problems.Require(c.Settle > 0 && c.Orphan >= c.Settle,
		"settle and orphan: %v and %v, want the second not below the first", c.Settle, c.Orphan)
	for _, proxy := range c.Proxies {
		problems.Require(proxy.Name != "", "node: one has no name")
		problems.RequireAddress("node "+proxy.Name+": control", proxy.Control)
	}
	c.Quotas.check(&problems)
	return problems.Err()
}
