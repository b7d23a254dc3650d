package proxy

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"

	"wrenspread/balancer"
	"wrenspread/internal/registry"
	"wrenspread/internal/simwire"
)

// What a proxy without stated limits may use.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// Config is what a proxy is told at its start.
type Config struct {
	Name           string
	Listen         string   // where clients connect
	Discovery      string   // where the list of servers comes from, unless List says so
	Registry       []string // addresses of the project's own registry; it goes before Discovery
	RegistryCache  string   // where the list is kept for the next start; empty: nowhere
	RegistrySubset bool     // of the registry's list, the part that the proxy works with is followed
	Control        string   // where operators call; empty: nowhere
	// folder for the fencing tokens seen there; empty: they are forgotten with the process
	FencingFolder  string
	BackendStats   bool // the figures for operators tell servers apart
	Seed           int64
	MemoryMB       int
	MaxDescriptors int // file descriptors
	Settings       balancer.Settings

	PeerListen string           // where other proxies' messages come; empty: nowhere
	Peers      []netip.AddrPort // of all proxies, by their numbers; invalid: not to be reached

	Membership MembershipConfig // the view of the fleet
	// the operators' policy is followed, and its limits are shared with the other proxies
	Policy bool

	Tenants TenantsConfig

	initialList registry.ListResponse // the servers as the proxy last had them
	rawFile     any                   // all of the file, as JSON has it
}

// LoadConfig reads the configuration file at path.
func LoadConfig(path string) (Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	c, err := parseConfig(raw)
	if err != nil {
		return Config{}, fmt.Errorf("config %s: %w", path, err)
	}
	return c, nil
}

// configForm is the form of a configuration file.
type configForm struct {
	Name         string   `json:"name"`
	Listen       string   `json:"listen"`
	Discovery    string   `json:"discovery"`
	List         []string `json:"list"`
	ListFile     string   `json:"list_file"`
	ListPart     bool     `json:"list_part"`
	Control      string   `json:"control"`
	Fences       string   `json:"fence_folder"`
	BackendStats bool     `json:"backend_stats"`
	Seed         string   `json:"seed"`
	Limits       struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	PeerListen string                `json:"peer_listen"`
	Peers      []string              `json:"peers"`
	Fleet      *fleetForm            `json:"fleet"`
	Policy     *policyForm           `json:"govern"`
	Known      registry.ListResponse `json:"known"`
	Settings   json.RawMessage       `json:"settings"`
}

func parseConfig(raw []byte) (Config, error) {
	var in configForm
	if err := json.Unmarshal(raw, &in); err != nil {
		return Config{}, err
	}
	c, problems := in.config()
	if len(problems) > 0 {
		return Config{}, problems[0]
	}
	c.rawFile = decodeAny(raw)
	return c, nil
}

// config makes what the proxy works with, and says all that is wrong.
func (in *configForm) config() (c Config, problems []error) {
	wrong := func(format string, args ...any) { problems = append(problems, fmt.Errorf(format, args...)) }
	var settings balancer.Settings
	if in.Settings == nil {
		wrong("settings are missing")
	} else {
		var all []error
		settings, all = simwire.ReadSettings(in.Settings)
		for _, err := range all {
			wrong("settings: %w", err)
		}
		// servers take nothing from a proxy but clients' requests, whatever the simulator's may
		settings.AllowLoadQueries = false
	}
	for _, a := range in.addresses() {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			wrong("%s: %w", a.key, err)
		}
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		wrong("seed: %w", err)
	}
	c = Config{
		Name:           in.Name,
		Listen:         in.Listen,
		Discovery:      in.Discovery,
		Registry:       in.List,
		RegistryCache:  in.ListFile,
		RegistrySubset: in.ListPart,
		Control:        in.Control,
		FencingFolder:  in.Fences,
		BackendStats:   in.BackendStats,
		Seed:           int64(seed),
		MemoryMB:       in.Limits.MemoryMB,
		MaxDescriptors: in.Limits.Sockets,
		Settings:       settings,
		initialList:    in.Known,
	}
	if in.ListPart && (len(in.List) == 0 || settings.ProxyIndex < 0 || settings.ProxyIndex >= settings.Proxies) {
		wrong(
			"list_part: only the list service knows parts, of a node with a number: want list, and a slot_no under balancers (%d of %d)",
			settings.ProxyIndex,
			settings.Proxies,
		)
	}
	var all []error
	c.Membership, all = in.Fleet.config(in.Name, in.PeerListen, settings)
	problems = append(problems, all...)
	c.Policy = in.Policy != nil && in.Policy.Policy
	c.Tenants = in.Policy.tenants()
	problems = append(problems, in.Policy.check(c)...)
	if settings.AllowGossip {
		c.PeerListen = in.PeerListen
		for _, peer := range in.Peers {
			a, _ := netip.ParseAddrPort(peer) // a proxy that can't be told of a load serves all the same
			c.Peers = append(c.Peers, a)
		}
	}
	if c.MemoryMB <= 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.MaxDescriptors <= 0 {
		c.MaxDescriptors = defaultSockets
	}
	if c.MaxDescriptors < minDescriptors {
		wrong("limits: %d sockets are too few, want %d or more", c.MaxDescriptors, minDescriptors)
	}
	return c, problems
}

type keyedValue struct{ key, value string }

// addresses gives those without which the proxy does not start.
func (in *configForm) addresses() []keyedValue {
	all := []keyedValue{{"listen", in.Listen}}
	for _, a := range in.List {
		all = append(all, keyedValue{"list", a})
	}
	if len(in.List) == 0 || in.Discovery != "" {
		all = append(all, keyedValue{"discovery", in.Discovery})
	}
	if in.Control != "" {
		all = append(all, keyedValue{"control", in.Control})
	}
	return all
}
