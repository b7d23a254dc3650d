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
	// Bootstrap makes this replica start the cluster if its folder is empty. It is set at one replica, once.
	Bootstrap bool `koanf:"begin"`
	// ElectionTimeout is how long replicas wait for a message from the leader: a new leader is elected after one
	// to two times this duration.
	ElectionTimeout time.Duration `koanf:"election"`
	// Replicas lists the replicas that start the cluster. At a replica that is added, it lists the replicas that
	// it joins. It always includes this replica.
	Replicas []Replica `koanf:"replica"`
	// SnapshotThreshold is the number of log entries after which a snapshot is made. Half as many entries before
	// the snapshot are retained.
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
	var problems config.Problems
	require, requireAddress := problems.Require, problems.RequireAddress
	require(c.Name != "", "name: missing")
	require(c.Folder != "", "folder: missing; the log and the snapshots are stored there")
	requireAddress("listen", c.Listen)
	require(
		c.ElectionTimeout >= 50*time.Millisecond && c.ElectionTimeout <= time.Minute,
		"election: %v is not between 50ms and 1m",
		c.ElectionTimeout,
	)
	require(c.MaxWatchers > 0, "max_watchers: %d is not above 0", c.MaxWatchers)
	require(c.MaxWrites > 0, "max_writes: %v is not above 0", c.MaxWrites)
	require(c.SnapshotThreshold >= 16, "snapshot: %d entries are too few, want 16 or more", c.SnapshotThreshold)
	if c.Raft != "" || len(c.Replicas) > 0 {
		requireAddress("raft", c.Raft)
	}
	if len(c.Replicas) == 0 {
		return problems.Err()
	}
	names := map[string]bool{}
	for i, r := range c.Replicas {
		require(r.Name != "" && !names[r.Name], "replica %d: name %q is empty or a duplicate", i+1, r.Name)
		names[r.Name] = true
		requireAddress(fmt.Sprintf("replica %s: raft", r.Name), r.Raft)
		requireAddress(fmt.Sprintf("replica %s: http", r.Name), r.HTTP)
	}
	require(names[c.Name], "replica: %s, this replica, is not listed", c.Name)
	require(
		!c.Bootstrap || len(c.Replicas)%2 == 1 && len(c.Replicas) <= 5,
		"replica: %d replicas are to begin the cluster, want 1, 3 or 5",
		len(c.Replicas),
	)
	require(
		len(c.Replicas) <= registry.MaxReplicas,
		"replica: %d replicas, want at most %d",
		len(c.Replicas),
		registry.MaxReplicas,
	)
	return problems.Err()
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
