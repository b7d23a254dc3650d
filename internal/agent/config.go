package agent

import (
	"strings"
	"time"

	"wrenspread/internal/config"
	"wrenspread/internal/registry"
)

// Config is the configuration of an agent.
type Config struct {
	Machine string        `koanf:"machine"` // its name, the same over restarts
	Listen  string        `koanf:"listen"`  // for calls
	Address string        `koanf:"address"` // where others reach it; empty: at listen
	List    []string      `koanf:"list"`    // replicas of the registry
	Folder  string        `koanf:"folder"`  // for what it has to know after a restart
	TTL     time.Duration `koanf:"ttl"`     // of its servers' entries
	Servers []Server      `koanf:"server"`
}

// Server is one server that the agent keeps. In its command and folder {version}
// stands for the version.
type Server struct {
	Name    string   `koanf:"name"`
	Address string   `koanf:"address"` // where proxies reach it
	Zone    string   `koanf:"zone"`
	Type    string   `koanf:"type"`
	Cell    int      `koanf:"group"`
	Weight  float64  `koanf:"weight"`
	Version string   `koanf:"version"` // with which it begins on an empty folder
	Command []string `koanf:"command"`
	Dir     string   `koanf:"dir"`
	// path that answers 200 once it is ready; empty: once it takes connections
	Ready string        `koanf:"ready"`
	Grace time.Duration `koanf:"grace"` // between SIGTERM and SIGKILL

	// Of a server that is upgraded by handoff, such as a proxy: this agent holds the clients' socket, which its
	// processes get as descriptor 3 ($GW_ACCEPT_FD), and another version is started beside the old one, at the
	// other of two control addresses ($GW_CONTROL).
	Handover bool     `koanf:"handover"`
	Control  []string `koanf:"control"`
	Unlisted bool     `koanf:"unlisted"` // it has no entry in the endpoint list
}

// Default is the configuration but for names, addresses and servers.
func Default() Config { return Config{Listen: "127.0.0.1:8800", TTL: 10 * time.Second} }

const (
	defaultGrace = 10 * time.Second
	maxServers   = 200 // on one machine
	versionMark  = "{version}"
)

// Check validates a configuration, by its keys.
func (c Config) Check() error {
	var f config.Problems
	bad, address := f.Require, f.RequireAddress
	bad(c.Machine != "", "machine: missing; it names this agent, the same over restarts")
	bad(c.Folder != "", "folder: missing; it is for versions and fences")
	address("listen", c.Listen)
	if c.Address != "" {
		address("address", c.Address)
	}
	bad(len(c.List) > 0, "list: missing; it has the addresses of the registry")
	for _, a := range c.List {
		address("list", a)
	}
	bad(
		c.TTL >= registry.MinTTL && c.TTL <= registry.MaxTTL,
		"ttl: %v is not between %v and %v",
		c.TTL,
		registry.MinTTL,
		registry.MaxTTL,
	)
	bad(
		len(c.Servers) >= 1 && len(c.Servers) <= maxServers,
		"server: there are %d, want 1 to %d",
		len(c.Servers),
		maxServers,
	)
	names := map[string]bool{}
	for _, s := range c.Servers {
		bad(
			s.Name != "" && len(s.Name) <= registry.MaxTextBytes && !names[s.Name],
			"server: name %q is missing, too long or there twice",
			s.Name,
		)
		names[s.Name] = true
		address("server "+s.Name+": address", s.Address)
		bad(len(s.Command) > 0, "server %s: command: missing", s.Name)
		bad(s.Version != "", "server %s: version: missing", s.Name)
		bad(s.Weight >= 0, "server %s: weight: %v is under 0", s.Name, s.Weight)
		bad(s.Grace >= 0, "server %s: grace: %v is under 0", s.Name, s.Grace)
		bad(
			!s.Handover || len(s.Control) == 2,
			"server %s: control: there are %d, want two addresses that are used in turn",
			s.Name,
			len(s.Control),
		)
		for _, a := range s.Control {
			address("server "+s.Name+": control", a)
		}
		bad(s.Ready == "" || strings.HasPrefix(s.Ready, "/"), "server %s: ready: %q is no path", s.Name, s.Ready)
	}
	return f.Err()
}

func (s Server) grace() time.Duration {
	if s.Grace == 0 {
		return defaultGrace
	}
	return s.Grace
}

// command returns what is started for a version.
func (s Server) command(version string) (args []string, dir string) {
	for _, a := range s.Command {
		args = append(args, strings.ReplaceAll(a, versionMark, version))
	}
	return args, strings.ReplaceAll(s.Dir, versionMark, version)
}

// entry is the server's entry in the endpoint list.
func (s Server) entry(status, version string, since int64) registry.Endpoint {
	return registry.Endpoint{
		Name:        s.Name,
		Address:     s.Address,
		Zone:        s.Zone,
		Type:        s.Type,
		Cell:        s.Cell,
		Weight:      s.Weight,
		Status:      status,
		StartedAtMS: since,
		Version:     version,
	}
}
