package platform

import (
	"path/filepath"
	"testing"

	"wrenspread/internal/lab/discovery"
	"wrenspread/internal/lab/world"
	"wrenspread/internal/proxy"
)

// TestProxyLoadsTheWrittenConfig: the proxy accepts the configuration that the platform writes, with all its
// values.
func TestProxyLoadsTheWrittenConfig(t *testing.T) {
	w := world.Draw(1, 3, 4)
	n := Node{Name: "n1", Number: 1, Nodes: 2, Zone: w.Zones[1], Listen: "127.0.0.1:1", Control: "127.0.0.1:2", Discovery: "127.0.0.1:3",
		PeerListen: "127.0.0.1:4", Peers: []string{"127.0.0.1:5", "127.0.0.1:4"}, Seed: 1 << 63, MemoryMB: 64, Sockets: 256,
		Known: discovery.Answer{Index: 1, Snapshot: true, Endpoints: []discovery.Entry{{Name: "s0", Address: "127.0.0.1:6", Status: discovery.Ready}}}}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := n.Write(path, w, 100); err != nil {
		t.Fatal(err)
	}
	c, err := proxy.LoadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	if c.Control != n.Control || len(c.Peers) != 2 || c.MemoryMB != 64 || s.ProxyIndex != 1 || s.Zone != n.Zone || len(s.Classes) != len(w.Classes) ||
		s.DrainGrace != world.DrainGrace || s.MaxAttempts != world.MaxAttempts || s.MaxRetryAfter != world.MaxRetryAfter || !s.SendRetryAfter || s.AllowHedging {
		t.Errorf("the proxy loaded the configuration %+v", c)
	}
	for i, k := range s.Classes {
		if want := w.Classes[i]; k.Name != want.Name || k.LatencyObjective != want.LatencyObjective || k.Deadline != want.Deadline {
			t.Errorf("the proxy loaded the class %+v, want %+v", k, want)
		}
	}
}
