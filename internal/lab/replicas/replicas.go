// Package replicas runs real replicas of the registry in the test lab: their folders, their processes, and a
// link between any two of them.
package replicas

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/process"
)

// Options configures the replicas.
type Options struct {
	Count   int
	Dir     string   // parent of the replicas' folders
	Command []string // command line of a replica, to which its configuration file is appended
	Seed    uint64   // for the damage of logs

	Election time.Duration // election timeout; 0 means a short one, as links on loopback add hardly any delay
	Snapshot int           // log entries after which a snapshot is made; 0 means defaultSnapshotEntries
	Env      []string
}

const (
	readyTimeout    = 30 * time.Second // only a process that hangs takes longer
	defaultElection = 150 * time.Millisecond

	// defaultSnapshotEntries is small, so that every run makes snapshots, and replicas that were away for some
	// seconds catch up by a snapshot.
	defaultSnapshotEntries = 64
)

// Set is the set of replicas of one registry.
type Set struct {
	options      Options
	net          *link.Net
	group        *process.Group
	All          []*Replica
	releasePorts []func()
}

// Replica is one replica, over all of its process incarnations.
type Replica struct {
	Name                     string
	dir                      string
	httpAddress, raftAddress string
	mu                       sync.Mutex
	proc                     *process.Proc
}

// New creates the replicas' folders and links. The replicas are named r0, r1 and so on. The links between
// them have the end NAME for raft, and NAME/http for requests that a replica forwards.
func New(o Options, net *link.Net, group *process.Group) (*Set, error) {
	s := &Set{options: o, net: net, group: group}
	for i := range o.Count {
		dir, err := filepath.Abs(filepath.Join(o.Dir, fmt.Sprint("r", i)))
		if err != nil {
			return nil, err
		}
		r := &Replica{Name: fmt.Sprint("r", i), dir: dir}
		for _, at := range []*string{&r.httpAddress, &r.raftAddress} {
			address, free, err := link.Reserve()
			if err != nil {
				s.ReleasePorts()
				return nil, err
			}
			*at = address
			s.releasePorts = append(s.releasePorts, free)
		}
		s.All = append(s.All, r)
	}
	for _, r := range s.All {
		if err := s.configure(r); err != nil {
			s.ReleasePorts()
			return nil, err
		}
	}
	return s, nil
}

// configure creates a replica's links to the others and writes its configuration file.
func (s *Set) configure(r *Replica) error {
	var text strings.Builder
	fmt.Fprintf(
		&text,
		"name = %q\nfolder = %q\nlisten = %q\nraft = %q\nbegin = %v\nelection = %q\nsnapshot = %d\nmax_writes = 100000.0\n",
		r.Name,
		r.dataDir(),
		r.httpAddress,
		r.raftAddress,
		r == s.All[0],
		cmp.Or(s.options.Election, defaultElection),
		cmp.Or(s.options.Snapshot, defaultSnapshotEntries),
	)
	for _, o := range s.All {
		raft, http := r.raftAddress, r.httpAddress
		if o != r {
			var err error
			if raft, err = s.net.Connect(link.Ends{From: r.Name, To: o.Name}, o.raftAddress); err != nil {
				return err
			}
			if http, err = s.net.Connect(link.Ends{From: r.Name, To: o.Name + "/http"}, o.httpAddress); err != nil {
				return err
			}
		}
		if s.options.Count > 1 {
			fmt.Fprintf(&text, "[[replica]]\nname = %q\nraft = %q\nhttp = %q\n", o.Name, raft, http)
		}
	}
	if err := os.MkdirAll(r.dir, 0o755); err != nil {
		return fmt.Errorf("%s: %w", r.Name, err)
	}
	if err := os.WriteFile(r.configPath(), []byte(text.String()), 0o644); err != nil {
		return fmt.Errorf("%s: %w", r.Name, err)
	}
	return nil
}

// Address is the HTTP address at which the replica itself listens, not that of a link.
func (r *Replica) Address() string { return r.httpAddress }

func (r *Replica) configPath() string { return filepath.Join(r.dir, "config.toml") }

// Connect creates links from a party to all replicas and returns the addresses of the links.
func (s *Set) Connect(from string) ([]string, error) {
	var all []string
	for _, r := range s.All {
		address, err := s.net.Connect(link.Ends{From: from, To: r.Name}, r.httpAddress)
		if err != nil {
			return nil, err
		}
		all = append(all, address)
	}
	return all, nil
}

// Start starts a replica's process.
func (s *Set) Start(r *Replica) error { return s.start(r, false) }

func (s *Set) start(r *Replica, mayFail bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, err := s.group.Start(
		process.Spec{
			Name:    r.Name,
			Command: append(append([]string(nil), s.options.Command...), "--config", r.configPath()),
			Dir:     r.dir,
			MayFail: mayFail,
			Env:     append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir}, s.options.Env...),
		},
	)
	if err == nil {
		r.proc = p
	}
	return err
}

// Proc is the replica's present process, or its last one if none is running.
func (r *Replica) Proc() *process.Proc {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proc
}

// Begin starts all replicas and waits until they are ready.
func (s *Set) Begin(ctx context.Context) error {
	for _, r := range s.All {
		if err := s.Start(r); err != nil {
			return err
		}
	}
	return s.Ready(ctx)
}

// Ready waits until each replica has the list and knows the leader.
func (s *Set) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, r := range s.All {
		if err := r.Proc().WaitReady(ctx, "http://"+r.httpAddress+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// Kill ends a replica at once. Its addresses then refuse connections, as nothing listens there.
func (r *Replica) Kill() error { return r.Proc().KillWait() }

// InjectFault kills, pauses or restarts the named replica, fills its disk, or damages its log. A killed
// replica is started again after duration, and a paused one continues then. patience bounds the time that a
// replica may take to end after SIGTERM. A replica whose log is damaged while it is not running is replaced
// in the same way as an operator does.
func (s *Set) InjectFault(ctx context.Context, name, do string, duration, patience time.Duration) error {
	i := slices.IndexFunc(s.All, func(r *Replica) bool { return r.Name == name })
	if i < 0 {
		return fmt.Errorf("there is no replica %s", name)
	}
	r := s.All[i]
	switch do {
	case "full":
		return r.fillDisk(ctx, duration)
	case "corrupt":
		if err := r.Kill(); err != nil {
			return err
		}
		backoff.Sleep(ctx, duration)
		return s.damageAndReplace(ctx, r)
	}
	if again, err := r.Proc().ApplyFault(ctx, do, duration, patience); err != nil || !again {
		return err
	}
	return s.Start(r)
}

// ReleasePorts releases the reserved ports. The process group ends the processes, and the network the links.
func (s *Set) ReleasePorts() {
	for _, f := range s.releasePorts {
		f()
	}
}
