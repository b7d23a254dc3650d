package controller

import (
	"time"

	"wrenspread/internal/config"
)

// Config configures a controller process.
type Config struct {
	Process    string        `koanf:"process"` // name of this process, the same over its restarts
	Registry   []string      `koanf:"list"`    // addresses of the registry's replicas
	Listen     string        `koanf:"listen"`  // address for /report, /healthz and /metrics
	Interval   time.Duration `koanf:"every"`   // interval between two comparisons
	Repair     bool          `koanf:"repair"`  // false: orphaned endpoints are reported and not removed
	Proxies    []Proxy       `koanf:"node"`    // proxies that are compared with the registry
	Quotas     Quotas        `koanf:"shares"`  // allocation of limits, off if Quotas.Fleet is empty
	Thresholds `koanf:",squash"`
}

// Proxy is a proxy that is compared with the registry.
type Proxy struct {
	Name    string `koanf:"name"`
	Control string `koanf:"control"` // control address, host:port
}

// Default returns the configuration without names and addresses, which have no defaults.
func Default() Config {
	return Config{
		Listen:     "127.0.0.1:8700",
		Interval:   5 * time.Second,
		Repair:     true,
		Thresholds: Thresholds{ReportAfter: 15 * time.Second, RemoveAfter: 5 * time.Minute},
	}
}

const minInterval = 100 * time.Millisecond // between two comparisons

// Check returns all problems of a configuration, each with its key, or nil.
func (c Config) Check() error {
	var problems config.Problems
	problems.Require(c.Process != "", "process: missing; want a name that stays the same over restarts")
	problems.Require(len(c.Registry) > 0, "list: missing; want the addresses of the registry")
	for _, address := range c.Registry {
		problems.RequireAddress("list", address)
	}
	problems.RequireAddress("listen", c.Listen)
	problems.Require(c.Interval >= minInterval, "every: %v is under %v", c.Interval, minInterval)
	problems.Require(c.ReportAfter > 0 && c.RemoveAfter >= c.ReportAfter,
		"settle and orphan: %v and %v, want the second not below the first", c.ReportAfter, c.RemoveAfter)
	for _, proxy := range c.Proxies {
		problems.Require(proxy.Name != "", "node: name: missing")
		problems.RequireAddress("node "+proxy.Name+": control", proxy.Control)
	}
	c.Quotas.check(&problems)
	return problems.Err()
}
