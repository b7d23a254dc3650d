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

// What a proxy without stated limits may use.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// Config is the configuration of a proxy at its start.
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

// config returns what the proxy works with, and all that is wrong with the file.
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
	hasIndex := settings.ProxyIndex >= 0 && settings.ProxyIndex < settings.Proxies
	if in.ListPart && (len(in.List) == 0 || !hasIndex) {
		problems = append(
			problems,
			fmt.Errorf("list_part: only the registry knows subsets, of a proxy with a number: "+
				"want list, and a slot_no under balancers (%d of %d)", settings.ProxyIndex, settings.Proxies),
		)
	}
	membership, found := in.Fleet.config(in.Name, in.PeerListen, settings)
	c.Membership = membership
	problems = append(problems, found...)
	c.Policy = in.Policy != nil && in.Policy.Policy
	c.Tenants = in.Policy.tenants()
	problems = append(problems, in.Policy.check(c)...)
	if settings.AllowGossip {
		c.PeerListen = in.PeerListen
		c.Peers = parsePeers(in.Peers)
	}
	return c, append(problems, c.setDefaults()...)
}

// settings reads the settings, and returns all that is wrong with them.
func (in *configForm) settings() (settings balancer.Settings, problems []error) {
	if in.Settings == nil {
		return settings, []error{errors.New("settings are missing")}
	}
	settings, found := simwire.ReadSettings(in.Settings)
	for _, err := range found {
		problems = append(problems, fmt.Errorf("settings: %w", err))
	}
	settings.AllowLoadQueries = false // real endpoints take nothing but clients' requests
	return settings, problems
}

// parsePeers parses the peers' addresses. One that is no address is invalid: that peer gets no load messages.
func parsePeers(texts []string) (peers []netip.AddrPort) {
	for _, text := range texts {
		address, _ := netip.ParseAddrPort(text)
		peers = append(peers, address)
	}
	return peers
}

// setDefaults sets limits that the file leaves out, and returns what is wrong with the others.
func (c *Config) setDefaults() (problems []error) {
	if c.MemoryMB <= 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.MaxDescriptors <= 0 {
		c.MaxDescriptors = defaultSockets
	}
	if c.MaxDescriptors < minDescriptors {
		problems = append(problems,
			fmt.Errorf("limits: %d sockets are too few, want %d or more", c.MaxDescriptors, minDescriptors))
	}
	return problems
}

type keyedValue struct{ key, value string }

// addresses returns those without which the proxy does not start.
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
