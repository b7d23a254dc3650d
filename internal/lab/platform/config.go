// Package platform writes the configuration file that the platform gives to a node. The deployment and
// wire pages define its form.
package platform

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"wrenspread/internal/lab/discovery"
	"wrenspread/internal/lab/world"
)

// Node holds the parts of a node's configuration that differ between nodes.
type Node struct {
	Name              string
	Number            int // number of the node in the fleet, from 0
	Nodes             int // number of nodes in the fleet
	Zone              string
	Listen            string // address for clients
	Control           string
	Discovery         string
	RegistryAddresses []string         // addresses of the registry, if the node follows it directly
	RegistryCacheFile string           // file in which the node caches the registry's list
	RegistrySubset    bool             // the node follows only its subset of the registry's list
	StatsByBackend    bool             // the node has separate metrics for each backend
	PeerListen        string           // address for messages between nodes; empty: none
	Peers             []string         // addresses of all nodes by node number, with the node's own address
	FollowPolicy      bool             // the node follows the operators' policy
	Tenants           bool             // the node follows the catalogue of tenants
	Fleet             string           // name of the fleet whose members the node tracks; empty: none
	Known             discovery.Answer // list with which the node starts
	Seed              uint64
	MemoryMB          int
	Sockets           int
}

// object is a JSON object of the configuration file.
type object map[string]any

// Write writes the configuration file at path atomically. rate is the mean number of requests per second.
func (n Node) Write(path string, w world.World, rate float64) error {
	raw, err := json.MarshalIndent(n.config(w, rate), "", " ")
	if err != nil {
		return fmt.Errorf("encode configuration of %s: %w", n.Name, err)
	}
	tempPath := path + ".next"
	if err := os.WriteFile(tempPath, raw, 0o644); err != nil {
		return fmt.Errorf("write configuration of %s: %w", n.Name, err)
	}
	if err := os.Rename(tempPath, path); err != nil {
		return fmt.Errorf("write configuration of %s: %w", n.Name, err)
	}
	return nil
}

// config returns the content of the node's configuration file.
func (n Node) config(w world.World, rate float64) object {
	c := object{
		"name":      n.Name,
		"listen":    n.Listen,
		"discovery": n.Discovery,
		"control":   n.Control,
		"seed":      fmt.Sprintf("%016x", n.Seed),
		"limits": object{
			"cores":     1.0,
			"memory_mb": n.MemoryMB,
			"sockets":   n.Sockets,
		},
		"known":    n.Known,
		"settings": n.settings(w, rate),
	}
	if len(n.RegistryAddresses) > 0 {
		delete(c, "discovery")
		c["list"], c["list_file"] = n.RegistryAddresses, n.RegistryCacheFile
		if n.RegistrySubset {
			c["list_part"] = true
		}
	}
	if n.StatsByBackend {
		c["backend_stats"] = true
	}
	if n.PeerListen != "" {
		c["peer_listen"], c["peers"] = n.PeerListen, n.Peers
	}
	if n.FollowPolicy {
		c["govern"] = object{"policy": true, "tenants": n.Tenants}
	}
	if n.Fleet != "" {
		c["fleet"] = object{"name": n.Fleet}
	}
	return c
}

// effectNames holds the configuration's names for the effects of classes.
var effectNames = map[string]string{world.Safe: "retryable", world.Unsafe: "fragile", world.Keyed: "dedup"}

// settings returns the settings of the balancer: the classes, the tenants, and the limits and rules of the
// lab.
func (n Node) settings(w world.World, rate float64) object {
	var classes, accounts []object
	for _, c := range w.Classes {
		k := object{
			"name":            c.Name,
			"effect":          effectNames[c.Effect],
			"aim_ns":          c.LatencyObjective,
			"give_up_ns":      c.Deadline,
			"importance":      c.Importance,
			"late_worth":      0.0,
			"streamed":        false,
			"key_scope":       "all",
			"dedup_window_ns": 5 * time.Second,
		}
		if c.Effect == world.Keyed {
			k["key_scope"], k["dedup_window_ns"] = "cell", c.Window
		}
		classes = append(classes, k)
	}
	for _, t := range w.Tenants {
		accounts = append(
			accounts,
			object{"name": t.Name, "fraction": t.Share, "quota_per_s": t.Share * rate * quotaFactor},
		)
	}
	return object{
		"balancers":        n.Nodes,
		"slot_no":          n.Number,
		"zone":             n.Zone,
		"failure_domains":  w.Zones,
		"kinds":            w.Kinds,
		"family":           "proxy",
		"classes":          classes,
		"accounts":         accounts,
		"membership_mode":  "pushed",
		"over_share_worth": 0.2,
		"worth_by":         "work",
		"weight_kind":      "none",
		"tick_ns":          4 * time.Millisecond,
		"tier":             0,
		"tiers":            []string{"funding-web"},
		"report": object{
			"fields": []string{},
			"how":    "none",
		},
		"specifics":     object{"warm_keys": false},
		"client_habits": object{"marks_retry": true},
		"goal":          object{"whole": 0.65, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.05},
		"caps": object{
			"cancel":             true,
			"conn_idle_ns":       world.IdleClose,
			"connect_timeout_ns": world.ConnectTimeout,
			"cpu_us_per_request": 0.0,
			"cpu_us_per_s":       8000,
			"max_attempts":       world.MaxAttempts,
			"max_retry_after_ns": world.MaxRetryAfter,
			"may_duplicate":      false,
			"most_held":          20000,
			"multiplex":          1,
			"peers":              n.PeerListen != "",
			"probes":             false,
			"retry_after":        true,
		},
		"charges": object{
			"connection":      0.0,
			"cross_zone":      0.03,
			"handshake":       0.02,
			"late_fail":       0.08,
			"membership_mode": 0.0,
			"moves":           0.0,
			"origin":          0.0,
			"peer":            0.01,
			"probe":           0.0,
			"waste":           0.04,
		},
		"invariants": object{
			"answer_slack_ns": world.AnswerSlack,
			"ask_within_ns":   10 * time.Second,
			"cold_from":       world.ColdFrom,
			"cold_ns":         world.ColdTime,
			"drain_grace_ns":  world.DrainGrace,
			"overload_factor": world.CrashMultiple,
			"tip_after_ns":    world.CrashWindow,
		},
	}
}

// quotaFactor is a tenant's quota divided by the tenant's share of the mean load. The demand of a tenant is
// 0.5 to 1.4 times this share, so it mostly stays within the quota.
const quotaFactor = 1.3
