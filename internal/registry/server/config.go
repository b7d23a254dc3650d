// Package server runs one replica of the registry: raft with its folder, reads, watches and writes over HTTP,
// and the expiry of entries and sessions.
package server

import (
	"fmt"
	"time"

	"wrenspread/internal/config"
	"wrenspread/internal/registry"
)

// Config is the configuration of a replica.
type Config struct {
	Name   string `koanf:"name"`   // name of this replica
	Folder string `koanf:"folder"` // folder of its log and snapshots
	Listen string `koanf:"listen"` // address for HTTP
	Raft   string `koanf:"raft"`   // address for the other replicas; empty: this replica is the only one
	// Begin makes this replica start the cluster if its folder is empty. It is set at one replica, once.
	Bootstrap bool `koanf:"begin"`
	// Election is the election timeout: a new leader is elected after one to two times this duration without a
	// message from the leader.
	ElectionTimeout time.Duration `koanf:"election"`
	// Replicas lists the replicas that start the cluster or, at a replica that is added, those that it joins;
	// this replica included.
	Replicas []Replica `koanf:"replica"`
	// Snapshot is the number of log entries after which a snapshot is made. Half as many entries before the
	// snapshot are retained.
	SnapshotThreshold uint64 `koanf:"snapshot"`

	MaxWatchers int     `koanf:"max_watchers"` // watches that may wait at the same time
	MaxWrites   float64 `koanf:"max_writes"`   // writes per second of one client, with bursts of twice as many
}

// Replica is a replica of the cluster with the addresses at which this replica reaches it.
type Replica struct {
	Name string `koanf:"name"`
	Raft string `koanf:"raft"`
	HTTP string `koanf:"http"`
}

// Default returns the configuration of a single replica without other replicas. Folder has to be set.
func Default() Config {
	return Config{
		Name:              "r0",
		Listen:            "127.0.0.1:8500",
		ElectionTimeout:   500 * time.Millisecond,
		SnapshotThreshold: 8192,
		MaxWatchers:       20000,
		MaxWrites:         200,
	}
}

// Check validates a configuration. The error names the keys of all invalid settings.
func (c Config) Check() error {
	var f config.Problems
	bad, address := f.Require, f.RequireAddress
	bad(c.Name != "", "name: missing")
	bad(c.Folder != "", "folder: missing; it is where the log and the snapshots go")
	address("listen", c.Listen)
	bad(
		c.ElectionTimeout >= 50*time.Millisecond && c.ElectionTimeout <= time.Minute,
		"election: %v is not between 50ms and 1m",
		c.ElectionTimeout,
	)
	bad(c.MaxWatchers > 0, "max_watchers: %d is not above 0", c.MaxWatchers)
	bad(c.MaxWrites > 0, "max_writes: %v is not above 0", c.MaxWrites)
	bad(c.SnapshotThreshold >= 16, "snapshot: %d entries are too few, want 16 or more", c.SnapshotThreshold)
	if c.Raft != "" || len(c.Replicas) > 0 {
		address("raft", c.Raft)
	}
	if len(c.Replicas) == 0 {
		return f.Err()
	}
	names := map[string]bool{}
	for i, r := range c.Replicas {
		bad(r.Name != "" && !names[r.Name], "replica %d: name %q is missing or there twice", i+1, r.Name)
		names[r.Name] = true
		address(fmt.Sprintf("replica %s: raft", r.Name), r.Raft)
		address(fmt.Sprintf("replica %s: http", r.Name), r.HTTP)
	}
	bad(names[c.Name], "replica: %s itself is not among them", c.Name)
	bad(
		!c.Bootstrap || len(c.Replicas)%2 == 1 && len(c.Replicas) <= 5,
		"replica: %d are to begin, want 1, 3 or 5",
		len(c.Replicas),
	)
	bad(
		len(c.Replicas) <= registry.MaxReplicas,
		"replica: there are %d, %d at most",
		len(c.Replicas),
		registry.MaxReplicas,
	)
	return f.Err()
}

// find returns a replica by name.
func (c Config) find(name string) (Replica, bool) {
	for _, r := range c.Replicas {
		if r.Name == name {
			return r, true
		}
	}
	return Replica{}, false
}
