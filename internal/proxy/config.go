package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"

	"wrenspread/balancer"
	"wrenspread/internal/registry"
	"wrenspread/internal/simwire"
)

// The limits of a proxy whose configuration sets none.
const (
	defaultCores          = 1
	defaultMemoryMB       = 192
	defaultMaxDescriptors = 1024
)

// Config is the configuration of a proxy at its start.
type Config struct {
	Name           string
	Listen         string   // address at which clients connect
	Discovery      string   // address of the platform's discovery; unused if Registry has addresses
	Registry       []string // addresses of the registry's replicas; empty: the list comes from Discovery
	RegistryCache  string   // file that caches the registry's list for the next start; empty: none
	RegistrySubset bool     // the proxy follows only its own subset of the registry's list
	Control        string   // address of the operators' HTTP routes; empty: none
	// FencingFolder is where the highest fencing token of each lease is stored. Empty: the tokens are in memory
	// only and are lost when the process ends.
	FencingFolder  string
	BackendStats   bool              // /stats has separate lines for each endpoint
	Seed           int64             // of the balancer's random choices
	Cores          float64           // processor cores that the process may use
	MemoryMB       int               // memory that the process may use
	MaxDescriptors int               // file descriptors that the process may open
	Settings       balancer.Settings // of the balancer; a reload replaces them

	PeerListen string           // UDP address for other proxies' messages; empty: none
	Peers      []netip.AddrPort // addresses of all proxies, by proxy index; nothing is sent to an invalid one

	Membership MembershipConfig // of the fleet's gossip membership
	// Policy makes the proxy follow the operators' policy and share its limits with the other proxies.
	Policy bool

	Tenants TenantsConfig

	initialList registry.ListResponse // endpoints that the proxy knows at its start
	rawFile     any                   // the complete file, as decoded JSON
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

// configForm is the JSON form of a configuration file.
type configForm struct {
	Name           string   `json:"name"`
	Listen         string   `json:"listen"`
	Discovery      string   `json:"discovery"`
	Registry       []string `json:"list"`
	RegistryCache  string   `json:"list_file"`
	RegistrySubset bool     `json:"list_part"`
	Control        string   `json:"control"`
	FencingFolder  string   `json:"fence_folder"`
	BackendStats   bool     `json:"backend_stats"`
	Seed           string   `json:"seed"`
	Limits         struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen  string                `json:"peer_listen"`
	Peers       []string              `json:"peers"`
	Fleet       *fleetForm            `json:"fleet"`
	Policy      *policyForm           `json:"govern"`
	InitialList registry.ListResponse `json:"known"`
	Settings    json.RawMessage       `json:"settings"`
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

// config returns the configuration that the file describes, and all problems of the file.
func (in *configForm) config() (c Config, problems []error) {
	settings, problems := in.settings()
	for _, address := range in.addresses() {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			problems = append(problems, fmt.Errorf("%s: %w", address.key, err))
		}
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		problems = append(problems, fmt.Errorf("seed: %w", err))
	}
	c = Config{
		Name:           in.Name,
		Listen:         in.Listen,
		Discovery:      in.Discovery,
		Registry:       in.Registry,
		RegistryCache:  in.RegistryCache,
		RegistrySubset: in.RegistrySubset,
		Control:        in.Control,
		FencingFolder:  in.FencingFolder,
		BackendStats:   in.BackendStats,
		Seed:           int64(seed),
		Cores:          in.Limits.Cores,
		MemoryMB:       in.Limits.MemoryMB,
		MaxDescriptors: in.Limits.Sockets,
		Settings:       settings,
		initialList:    in.InitialList,
	}
	hasIndex := settings.ProxyIndex >= 0 && settings.ProxyIndex < settings.Proxies
	if in.RegistrySubset && (len(in.Registry) == 0 || !hasIndex) {
		problems = append(
			problems,
			fmt.Errorf("list_part: a subset needs the registry and this proxy's number: want the key list, "+
				"and slot_no less than balancers (have %d of %d)", settings.ProxyIndex, settings.Proxies),
		)
	}
	membership, membershipProblems := in.Fleet.config(in.Name, in.PeerListen, settings)
	c.Membership = membership
	problems = append(problems, membershipProblems...)
	c.Policy = in.Policy != nil && in.Policy.Policy
	c.Tenants = in.Policy.tenants()
	problems = append(problems, in.Policy.check(c)...)
	if settings.AllowGossip {
		c.PeerListen = in.PeerListen
		c.Peers = parsePeers(in.Peers)
	}
	return c, append(problems, c.setDefaults()...)
}

// settings reads the balancer's settings, and returns all problems found in them.
func (in *configForm) settings() (settings balancer.Settings, problems []error) {
	if in.Settings == nil {
		return settings, []error{errors.New("settings are missing")}
	}
	settings, settingsProblems := simwire.ReadSettings(in.Settings)
	for _, err := range settingsProblems {
		problems = append(problems, fmt.Errorf("settings: %w", err))
	}
	settings.AllowLoadQueries = false // real endpoints answer only clients' requests, no load queries
	return settings, problems
}

// parsePeers parses the peers' addresses. A text that is not an address gives an invalid AddrPort, and that
// peer gets no load messages.
func parsePeers(texts []string) (peers []netip.AddrPort) {
	for _, text := range texts {
		address, _ := netip.ParseAddrPort(text)
		peers = append(peers, address)
	}
	return peers
}

// setDefaults sets the limits that the file leaves out, and returns the problems of the others.
func (c *Config) setDefaults() (problems []error) {
	if c.Cores <= 0 {
		c.Cores = defaultCores
	}
	if c.MemoryMB <= 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.MaxDescriptors <= 0 {
		c.MaxDescriptors = defaultMaxDescriptors
	}
	if c.MaxDescriptors < minDescriptors {
		problems = append(problems,
			fmt.Errorf("limits: %d sockets are too few, want %d or more", c.MaxDescriptors, minDescriptors))
	}
	return problems
}

// keyedValue is a value of the configuration file and its key.
type keyedValue struct{ key, value string }

// addresses returns the addresses without which the proxy can't start, each with its key.
func (in *configForm) addresses() []keyedValue {
	addresses := []keyedValue{{"listen", in.Listen}}
	for _, a := range in.Registry {
		addresses = append(addresses, keyedValue{"list", a})
	}
	if len(in.Registry) == 0 || in.Discovery != "" {
		addresses = append(addresses, keyedValue{"discovery", in.Discovery})
	}
	if in.Control != "" {
		addresses = append(addresses, keyedValue{"control", in.Control})
	}
	return addresses
}
