package proxy

import (
	"cmp"
	"fmt"
	"log/slog"
	"net/netip"
	"runtime/debug"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/membership/gossip"
	"wrenspread/internal/membership/wire"
)

// Bounds of the probe interval. With a shorter interval a member that is scheduled late would look dead; with
// a longer one a dead member would be noticed only after minutes.
const (
	minProbeInterval = 20 * time.Millisecond
	maxProbeInterval = 10 * time.Second
	maxSeeds         = 512 // that package membership accepts
)

// Version is the program version that the proxy publishes to the other members. The linker sets it: -X
// wrenspread/internal/proxy.Version=v7. If it is empty, the proxy publishes the revision that it was built
// from, or "unknown".
var Version string

// MembershipConfig is the configuration of the fleet's gossip membership. An empty Name means that the proxy
// joins no fleet.
type MembershipConfig struct {
	Name          string           // of the fleet
	Join          []netip.AddrPort // members to join through; empty: the configured peers
	Address       netip.AddrPort   // at which other members reach this proxy
	ProbeInterval time.Duration    // 0: the default of package gossip
}

// fleetForm is the JSON form of the key fleet in the configuration file.
type fleetForm struct {
	Name     string   `json:"name"`
	Join     []string `json:"join"`
	Address  string   `json:"address"`
	PeriodMS int      `json:"period_ms"`
}

// config returns the membership configuration and its problems, for the proxy named proxyName whose peer
// socket listens at listen. f may be nil.
func (f *fleetForm) config(
	proxyName, listen string,
	s balancer.Settings,
) (c MembershipConfig, problems []error) {
	if f == nil {
		return c, nil
	}
	addProblem := func(format string, args ...any) {
		problems = append(problems, fmt.Errorf("fleet: "+format, args...))
	}
	c = MembershipConfig{Name: f.Name, ProbeInterval: time.Duration(f.PeriodMS) * time.Millisecond}
	if f.Name == "" || len(f.Name) > wire.MaxName {
		addProblem("name: want the fleet's name, of at most %d bytes", wire.MaxName)
	}
	if c.ProbeInterval != 0 && (c.ProbeInterval < minProbeInterval || c.ProbeInterval > maxProbeInterval) {
		addProblem(
			"period_ms: %d: want %d to %d",
			f.PeriodMS,
			minProbeInterval.Milliseconds(),
			maxProbeInterval.Milliseconds(),
		)
	}
	if len(f.Join) > maxSeeds {
		addProblem("join: %d addresses: want at most %d", len(f.Join), maxSeeds)
	}
	for i, text := range f.Join {
		a, err := parseReachableAddr(text)
		if err != nil {
			addProblem("join.%d: %w", i, err)
		}
		c.Join = append(c.Join, a)
	}
	key, address := "address", f.Address
	if address == "" {
		key, address = "peer_listen (used because address is missing)", listen
	}
	var err error
	if c.Address, err = parseReachableAddr(address); err != nil {
		addProblem("%s: %w", key, err)
	}
	if listen == "" {
		addProblem("peer_listen is missing: membership needs that socket")
	}
	gossipConfig := gossip.Config{
		Fleet:   "any",
		Name:    proxyName,
		Addr:    c.Address,
		Zone:    s.Zone,
		Version: version(),
	}
	if err := gossipConfig.Check(); err != nil {
		addProblem("%w", err)
	}
	return c, problems
}

// membershipOffMessage is logged, and noted by CheckConfig, where a fleet is configured but gossip is not
// allowed.
const membershipOffMessage = "membership stays off, as the settings allow no gossip (settings.caps.peers)"

// withoutMembership removes the membership from a configuration whose settings don't allow gossip.
func (c Config) withoutMembership(log *slog.Logger) Config {
	if c.Membership.Name != "" && !c.Settings.AllowGossip {
		log.Warn(membershipOffMessage, "fleet", c.Membership.Name)
		c.Membership = MembershipConfig{}
	}
	return c
}

// parseReachableAddr parses an address that other members can send to. It has to be an IPv4 address, as the
// peer socket is an IPv4 socket.
func parseReachableAddr(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err == nil && (!a.Addr().Is4() || a.Addr().IsUnspecified() || a.Port() == 0) {
		err = fmt.Errorf(
			"%q is not reachable: want an IPv4 address that others can send to, and a port above 0",
			text,
		)
	}
	return a, err
}

// version returns the version that the proxy publishes, cut to wire.MaxText bytes.
func version() string {
	v := cmp.Or(Version, revision(), "unknown")
	return v[:min(len(v), wire.MaxText)]
}

// revision returns the first twelve digits of the revision that the program was built from, with "+" if files
// were modified; empty if the build doesn't record it.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	revision, modified := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), 12)]
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = "+"
		}
	}
	return revision + modified
}
