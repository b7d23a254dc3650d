package membership

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"wrenspread/internal/membership/wire"
)

// Config configures a Core. Zero durations and counts take the defaults.
type Config struct {
	Fleet    string         // name of the fleet; datagrams of other fleets are dropped
	Name     string         // the node's name, unique in the fleet
	Number   int            // the node's index among the configured peers; -1 means none
	Addr     netip.AddrPort // address that the node advertises
	Metadata Metadata
	// Seeds are the addresses that the node pings to join the fleet. Only the first maxSeeds are used. The
	// node's own address among the seeds is ignored.
	Seeds       []netip.AddrPort
	RandomSeed  uint64 // seed of all random draws
	Generation  uint64 // Unix milliseconds at the start, or the generation that an upgrade handed over
	Incarnation uint32 // 0, or one more than the incarnation that an upgrade handed over

	// ProbeInterval is the period, the time from one probe to the next: 200 ms. A node sends about two datagrams
	// a period, so ten a second, and a dead member among 30 disappears from all views in about 2.5 s.
	ProbeInterval time.Duration
	// ProbeTimeout is the time for a direct answer before indirect probes are requested: 60 ms, over 100 times a
	// round trip within a site, and short enough that indirect answers can arrive before the period ends.
	ProbeTimeout time.Duration
	// DeadGossipTime is how long a dead or left member stays in the digest and is broadcast: 60 s, far beyond
	// the time that a broadcast needs.
	DeadGossipTime time.Duration
	// DeadReclaimTime is how long a dead or left member is remembered, and how long a dead member is probed: 10
	// min. After a partition that lasts longer, nodes find each other through the seeds.
	DeadReclaimTime time.Duration
	// MaxMembers bounds the members that are remembered, whatever their health: 4096. While all of them are
	// living, further members are rejected.
	MaxMembers int
}

// maxSeeds bounds the seeds that are used.
const maxSeeds = 512

func (cfg Config) withDefaults() Config {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDefault(&cfg.ProbeInterval, 200*time.Millisecond)
	setDefault(&cfg.ProbeTimeout, cfg.ProbeInterval*3/10)
	setDefault(&cfg.DeadGossipTime, time.Minute)
	setDefault(&cfg.DeadReclaimTime, 10*time.Minute)
	if cfg.MaxMembers <= 0 {
		cfg.MaxMembers = 4096
	}
	cfg.ProbeTimeout = min(cfg.ProbeTimeout, cfg.ProbeInterval/2)
	cfg.DeadGossipTime = min(cfg.DeadGossipTime, maxAge)
	cfg.DeadReclaimTime = max(cfg.DeadReclaimTime, 2*cfg.DeadGossipTime)
	cfg.Seeds = cfg.Seeds[:min(len(cfg.Seeds), maxSeeds)]
	return cfg
}

// Check returns an error if New can't work with the configuration.
func (cfg Config) Check() error {
	if cfg.Fleet == "" {
		return errors.New("fleet name is empty")
	}
	if err := cfg.ownStatement().Check(); err != nil {
		return fmt.Errorf("own member: %w", err)
	}
	return nil
}

func (cfg Config) ownStatement() wire.Statement {
	return wire.Statement{
		Name:        cfg.Name,
		Number:      cfg.Number,
		Addr:        cfg.Addr,
		Generation:  cfg.Generation,
		Incarnation: cfg.Incarnation,
		Metadata:    cfg.Metadata,
	}
}
