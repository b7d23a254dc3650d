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

// Bounds of the time from one probe to the next. Below, a late scheduler looks like a death; above, a death
// takes minutes to be known.
const (
	minProbeInterval = 20 * time.Millisecond
	maxProbeInterval = 10 * time.Second
	maxSeeds         = 512 // as many as the core takes
)

// Version of the program that members publish, to be set by the linker: -X
// wrenspread/internal/proxy.Version=v7. Else it is the revision that it was built from, or unknown to one
// that was built without.
var Version string

// MembershipConfig is what the view of the fleet needs. Without a Name there is no view.
type MembershipConfig struct {
	Name          string
	Join          []netip.AddrPort // to join by; none: the configured peers
	Address       netip.AddrPort   // where others reach this proxy
	ProbeInterval time.Duration    // from one probe to the next; 0: the usual one
}

// fleetForm is the form of the key fleet in the configuration file.
type fleetForm struct {
	Name     string   `json:"name"`
	Join     []string `json:"join"`
	Address  string   `json:"address"`
	PeriodMS int      `json:"period_ms"`
}

// config checks the key for a proxy of this name, which listens there for others. f may be nil.
func (f *fleetForm) config(node, listen string, s balancer.Settings) (c MembershipConfig, problems []error) {
	if f == nil {
		return c, nil
	}
	wrong := func(format string, args ...any) {
		problems = append(problems, fmt.Errorf("fleet: "+format, args...))
	}
	c = MembershipConfig{Name: f.Name, ProbeInterval: time.Duration(f.PeriodMS) * time.Millisecond}
	if f.Name == "" || len(f.Name) > wire.MaxName {
		wrong("name: want the fleet's name, of at most %d bytes", wire.MaxName)
	}
	if c.ProbeInterval != 0 && (c.ProbeInterval < minProbeInterval || c.ProbeInterval > maxProbeInterval) {
		wrong(
			"period_ms: %d: want %d to %d",
			f.PeriodMS,
			minProbeInterval.Milliseconds(),
			maxProbeInterval.Milliseconds(),
		)
	}
	if len(f.Join) > maxSeeds {
		wrong("join: %d addresses: want at most %d", len(f.Join), maxSeeds)
	}
	for i, text := range f.Join {
		a, err := reachable(text)
		if err != nil {
			wrong("join.%d: %w", i, err)
		}
		c.Join = append(c.Join, a)
	}
	key, address := "address", f.Address
	if address == "" {
		key, address = "peer_listen (without an address of its own)", listen
	}
	var err error
	if c.Address, err = reachable(address); err != nil {
		wrong("%s: %w", key, err)
	}
	if listen == "" {
		wrong("peer_listen is missing: the view goes over that socket")
	}
	own := gossip.Config{Fleet: "any", Name: node, Addr: c.Address, Zone: s.Zone, Version: version()}
	if err := own.Check(); err != nil {
		wrong("%w", err)
	}
	return c, problems
}

const membershipOff = "membership stays off, as the settings allow no gossip (settings.caps.peers)"

// withoutMembership is the configuration of a proxy that may send no messages to others.
func (c Config) withoutMembership(log *slog.Logger) Config {
	if c.Membership.Name != "" && !c.Settings.AllowGossip {
		log.Warn(membershipOff, "fleet", c.Membership.Name)
		c.Membership = MembershipConfig{}
	}
	return c
}

// reachable reads an address that others can send to. The peers' socket is of IPv4.
func reachable(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err == nil && (!a.Addr().Is4() || a.Addr().IsUnspecified() || a.Port() == 0) {
		err = fmt.Errorf(
			"%q is not to be reached: want an IPv4 address that others can send to, and a port above 0",
			text,
		)
	}
	return a, err
}

// version is at most wire.MaxText bytes.
func version() string {
	v := cmp.Or(Version, revision(), "unknown")
	return v[:min(len(v), wire.MaxText)]
}

// revision is what the program was built from, by its first twelve digits.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	revision, changed := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), 12)]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	return revision + changed
}
