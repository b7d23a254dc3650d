package agent

import (
	"strings"
	"time"

	"wrenspread/internal/config"
	"wrenspread/internal/registry"
)

// Config is the configuration of an agent.
type Config struct {
	Machine  string        `koanf:"machine"` // name of the machine, the same after a restart of the agent
	Listen   string        `koanf:"listen"`  // address for HTTP calls
	Address  string        `koanf:"address"` // address at which others reach the agent; empty: Listen
	Registry []string      `koanf:"list"`    // addresses of the registry's replicas
	Folder   string        `koanf:"folder"`  // folder for the state that the agent needs after a restart
	TTL      time.Duration `koanf:"ttl"`     // TTL of the servers' registrations
	Servers  []Server      `koanf:"server"`
}

// Server configures one server that the agent runs. The text {version} in Command and Dir is replaced by the
// server's version.
type Server struct {
	Name    string   `koanf:"name"`
	Address string   `koanf:"address"` // address at which proxies reach the server
	Zone    string   `koanf:"zone"`
	Type    string   `koanf:"type"`
	Cell    int      `koanf:"group"`
	Weight  float64  `koanf:"weight"`
	Version string   `koanf:"version"` // version that is started if no desired state is stored in Config.Folder
	Command []string `koanf:"command"`
	Dir     string   `koanf:"dir"`
	// Ready is the path that answers 200 once the server is ready. Empty: the server is ready once it accepts
	// connections.
	Ready string        `koanf:"ready"`
	Grace time.Duration `koanf:"grace"` // time between SIGTERM and SIGKILL; 0: defaultGrace

	// Handoff is set for a server that is upgraded by handoff, such as a proxy. The agent owns the clients'
	// socket and passes it to the server's processes as descriptor 3 ($GW_ACCEPT_FD). It starts the new version
	// while the previous one is still running. The two processes use different addresses of Control
	// ($GW_CONTROL).
	Handoff  bool     `koanf:"handover"`
	Control  []string `koanf:"control"`  // control addresses, two with Handoff
	Unlisted bool     `koanf:"unlisted"` // the server is not registered in the endpoint list
}

// Default returns the configuration without its names, addresses and servers, which have no defaults.
func Default() Config { return Config{Listen: "127.0.0.1:8800", TTL: 10 * time.Second} }

const (
	defaultGrace       = 10 * time.Second // grace of a server whose configuration has none
	maxServers         = 200              // servers of one agent
	versionPlaceholder = "{version}"
)

// Check returns all problems of a configuration, each with its key, or nil.
func (c Config) Check() error {
	var problems config.Problems
	require, requireAddress := problems.Require, problems.RequireAddress
	require(c.Machine != "", "machine: missing; want a name that stays the same over restarts of the agent")
	require(c.Folder != "", "folder: missing; it stores the state that the agent needs after a restart")
	requireAddress("listen", c.Listen)
	if c.Address != "" {
		requireAddress("address", c.Address)
	}
	require(len(c.Registry) > 0, "list: missing; want the addresses of the registry")
	for _, a := range c.Registry {
		requireAddress("list", a)
	}
	require(
		c.TTL >= registry.MinTTL && c.TTL <= registry.MaxTTL,
		"ttl: %v is not between %v and %v",
		c.TTL,
		registry.MinTTL,
		registry.MaxTTL,
	)
	require(
		len(c.Servers) >= 1 && len(c.Servers) <= maxServers,
		"server: there are %d, want 1 to %d",
		len(c.Servers),
		maxServers,
	)
	names := map[string]bool{}
	for _, s := range c.Servers {
		require(
			s.Name != "" && len(s.Name) <= registry.MaxTextBytes && !names[s.Name],
			"server: name %q is missing, too long or used twice",
			s.Name,
		)
		names[s.Name] = true
		requireAddress("server "+s.Name+": address", s.Address)
		require(len(s.Command) > 0, "server %s: command: missing", s.Name)
		require(s.Version != "", "server %s: version: missing", s.Name)
		require(s.Weight >= 0, "server %s: weight: %v is under 0", s.Name, s.Weight)
		require(s.Grace >= 0, "server %s: grace: %v is under 0", s.Name, s.Grace)
		require(
			!s.Handoff || len(s.Control) == 2,
			"server %s: control: there are %d addresses, want 2, which the processes use in turn",
			s.Name,
			len(s.Control),
		)
		for _, a := range s.Control {
			requireAddress("server "+s.Name+": control", a)
		}
		require(
			s.Ready == "" || strings.HasPrefix(s.Ready, "/"),
			"server %s: ready: %q is no path",
			s.Name,
			s.Ready,
		)
	}
	return problems.Err()
}

// grace returns the time between SIGTERM and SIGKILL.
func (s Server) grace() time.Duration {
	if s.Grace == 0 {
		return defaultGrace
	}
	return s.Grace
}

// command returns the command line of a version and the folder in which it is started.
func (s Server) command(version string) (arguments []string, dir string) {
	for _, a := range s.Command {
		arguments = append(arguments, strings.ReplaceAll(a, versionPlaceholder, version))
	}
	return arguments, strings.ReplaceAll(s.Dir, versionPlaceholder, version)
}

// entry returns the server's entry in the endpoint list. startedAtMS is the Unix time in milliseconds at
// which its process was started.
func (s Server) entry(status, version string, startedAtMS int64) registry.Endpoint {
	return registry.Endpoint{
		Name:        s.Name,
		Address:     s.Address,
		Zone:        s.Zone,
		Type:        s.Type,
		Cell:        s.Cell,
		Weight:      s.Weight,
		Status:      status,
		StartedAtMS: startedAtMS,
		Version:     version,
	}
}
