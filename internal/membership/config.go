package membership

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"wrenspread/internal/membership/wire"
)

// Config is what a Core starts with. Zero durations and counts take the defaults.
type Config struct {
	Fleet    string // name of the fleet: datagrams of another one are dropped
	Name     string // own name, unique in the fleet
	Number   int    // own place among the configured peers, -1: none
	Addr     netip.AddrPort
	Metadata Metadata
	// addresses to join by; at most maxSeeds count. One's own among them does no harm
	Seeds       []netip.AddrPort
	RandomSeed  uint64 // of all draws
	Generation  uint64 // Unix milliseconds at the start, or what an upgrade handed over
	Incarnation uint32 // 0, or one more than what an upgrade handed over

	// Period is the time from one probe to the next: 200 ms. A node sends about two datagrams a period, so ten a
	// second, and a dead one among 30 is off all views in about 2.5 s.
	ProbeInterval time.Duration
	// Answer is the time for a direct answer before others are asked for an indirect probe: 60 ms, over 100
	// times a round trip within a site, and short enough that the indirect answers have the rest of the period.
	ProbeTimeout time.Duration
	// Fresh is how long a dead or left member stays in the digest and is broadcast: 60 s, far beyond the time
	// that a broadcast needs.
	DeadGossipTime time.Duration
	// Forget is how long a dead or left member is remembered, and a dead one asked: 10 min. Longer cuts heal by
	// the seeds.
	DeadReclaimTime time.Duration
	// Most bounds the members that are remembered, living and dead: 4096. Further strangers are rejected.
	MaxMembers int
}

const maxSeeds = 512

func (cfg Config) withDefaults() Config {
	def := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	def(&cfg.ProbeInterval, 200*time.Millisecond)
	def(&cfg.ProbeTimeout, cfg.ProbeInterval*3/10)
	def(&cfg.DeadGossipTime, time.Minute)
	def(&cfg.DeadReclaimTime, 10*time.Minute)
	if cfg.MaxMembers <= 0 {
		cfg.MaxMembers = 4096
	}
	cfg.ProbeTimeout = min(cfg.ProbeTimeout, cfg.ProbeInterval/2)
	cfg.DeadGossipTime = min(cfg.DeadGossipTime, maxAge)
	cfg.DeadReclaimTime = max(cfg.DeadReclaimTime, 2*cfg.DeadGossipTime)
	cfg.Seeds = cfg.Seeds[:min(len(cfg.Seeds), maxSeeds)]
	return cfg
}

// Check says what New could not work with.
func (cfg Config) Check() error {
	if cfg.Fleet == "" {
		return errors.New("fleet without a name")
	}
	if err := cfg.own().Check(); err != nil {
		return fmt.Errorf("own member: %w", err)
	}
	return nil
}

func (cfg Config) own() wire.Statement {
	return wire.Statement{
		Name:        cfg.Name,
		Number:      cfg.Number,
		Addr:        cfg.Addr,
		Generation:  cfg.Generation,
		Incarnation: cfg.Incarnation,
		Metadata:    cfg.Metadata,
	}
}
