package proxy

import (
	"strings"
	"testing"
	"time"

	"wrenspread/balancer"
)

// TestServesUnderUnusualSettings: a proxy serves under extreme values of each setting.
func TestServesUnderUnusualSettings(t *testing.T) {
	for name, change := range map[string]func(*balancer.Settings){
		"one attempt":                 func(s *balancer.Settings) { s.MaxAttempts = 1 },
		"no number of attempts":       func(s *balancer.Settings) { s.MaxAttempts = 0 },
		"no connect time-out":         func(s *balancer.Settings) { s.ConnectTimeout = 0 },
		"idle for half a second":      func(s *balancer.Settings) { s.ConnectionIdleTimeout = 500 * time.Millisecond },
		"idle for a millisecond":      func(s *balancer.Settings) { s.ConnectionIdleTimeout = time.Millisecond },
		"aim past the deadline":       func(s *balancer.Settings) { s.Classes[0].LatencyObjective = time.Hour },
		"no aim":                      func(s *balancer.Settings) { s.Classes[0].LatencyObjective = 0 },
		"deadline of 20 ms":           func(s *balancer.Settings) { s.Classes[0].Deadline = 20 * time.Millisecond },
		"deadline of an hour":         func(s *balancer.Settings) { s.Classes[0].Deadline = time.Hour },
		"no other class":              func(s *balancer.Settings) { s.Classes = s.Classes[:1] },
		"no worth":                    func(s *balancer.Settings) { s.Classes[0].PriorityWeight = 0 },
		"odd name":                    func(s *balancer.Settings) { s.Classes[1].Name = "é:\x00 |" },
		"a tenant without quota":      func(s *balancer.Settings) { s.Tenants = []balancer.Tenant{{Name: ""}} },
		"many nodes":                  func(s *balancer.Settings) { s.Proxies = 300 },
		"ticks of 100 ms":             func(s *balancer.Settings) { s.MinEventInterval = 100 * time.Millisecond },
		"no drain grace":              func(s *balancer.Settings) { s.DrainGrace = 0 },
		"no hold-offs, no cold rules": func(s *balancer.Settings) { s.SendRetryAfter, s.SlowStartInitial, s.SlowStartDuration = false, 0, 0 },
	} {
		t.Run(name, func(t *testing.T) {
			n := startNodeWith(t, func(n *Server) {
				change(&n.config.Settings)
				n.balancer = balancer.New(n.config.Settings, 1)
				n.frontend.rules.Store(newRequestRules(n.config.Settings, nil))
				n.pool.configure(n.config.Settings)
			}, serving(t))
			for _, c := range []struct{ method, class string }{{"GET", "saldo"}, {"POST", "pagar"}} {
				if c.class == "pagar" && len(n.config.Settings.Classes) == 1 {
					continue
				}
				if a := do(t, n.request(t, c.method, c.class, c.class, "20", strings.NewReader(""))); a.status != 200 {
					t.Errorf("%s: answer %+v", c.class, a)
				}
			}
		})
	}
}
