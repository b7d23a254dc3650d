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
		"one attempt":                          func(s *balancer.Settings) { s.MaxAttempts = 1 },
		"no attempt limit":                     func(s *balancer.Settings) { s.MaxAttempts = 0 },
		"no connect timeout":                   func(s *balancer.Settings) { s.ConnectTimeout = 0 },
		"idle timeout 500 ms":                  func(s *balancer.Settings) { s.ConnectionIdleTimeout = 500 * time.Millisecond },
		"idle timeout 1 ms":                    func(s *balancer.Settings) { s.ConnectionIdleTimeout = time.Millisecond },
		"latency objective after the deadline": func(s *balancer.Settings) { s.Classes[0].LatencyObjective = time.Hour },
		"no latency objective":                 func(s *balancer.Settings) { s.Classes[0].LatencyObjective = 0 },
		"deadline of 20 ms":                    func(s *balancer.Settings) { s.Classes[0].Deadline = 20 * time.Millisecond },
		"deadline of an hour":                  func(s *balancer.Settings) { s.Classes[0].Deadline = time.Hour },
		"only one class":                       func(s *balancer.Settings) { s.Classes = s.Classes[:1] },
		"no priority weight":                   func(s *balancer.Settings) { s.Classes[0].PriorityWeight = 0 },
		"class name with separators":           func(s *balancer.Settings) { s.Classes[1].Name = "é:\x00 |" },
		"a tenant without quota":               func(s *balancer.Settings) { s.Tenants = []balancer.Tenant{{Name: ""}} },
		"many proxies":                         func(s *balancer.Settings) { s.Proxies = 300 },
		"event interval 100 ms":                func(s *balancer.Settings) { s.MinEventInterval = 100 * time.Millisecond },
		"no drain grace":                       func(s *balancer.Settings) { s.DrainGrace = 0 },
		"no Retry-After, no slow start":        func(s *balancer.Settings) { s.SendRetryAfter, s.SlowStartInitial, s.SlowStartDuration = false, 0, 0 },
	} {
		t.Run(name, func(t *testing.T) {
			srv := startProxyWith(t, func(srv *Server) {
				change(&srv.config.Settings)
				srv.balancer = balancer.New(srv.config.Settings, 1)
				srv.frontend.rules.Store(newRequestRules(srv.config.Settings, nil))
				srv.pool.configure(srv.config.Settings)
			}, okServer(t))
			for _, c := range []struct{ method, class string }{{"GET", "saldo"}, {"POST", "pagar"}} {
				if c.class == "pagar" && len(srv.config.Settings.Classes) == 1 {
					continue
				}
				if a := do(t, srv.request(t, c.method, c.class, c.class, "20", strings.NewReader(""))); a.status != 200 {
					t.Errorf("%s: response %+v, want 200", c.class, a)
				}
			}
		})
	}
}
