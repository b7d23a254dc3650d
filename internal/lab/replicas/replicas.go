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
	Seed    uint64   // of the random damage to logs

	Election time.Duration // election timeout; 0 means defaultElection
	Snapshot int           // log entries after which a snapshot is made; 0 means defaultSnapshotEntries
	Env      []string
}

const (
	readyTimeout    = 30 * time.Second       // only a process that hangs takes longer
	defaultElection = 150 * time.Millisecond // short, as links on loopback add hardly any delay

	// defaultSnapshotEntries is small, so that every run makes snapshots, and replicas that did not run or
	// could not be reached for some seconds catch up by a snapshot.
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

// New creates the replicas' folders and links. It starts no process. The replicas are named r0, r1 and so on.
// A link to replica NAME has the end NAME if it carries raft messages, and NAME/http if it carries requests
// that another replica forwards.
func New(o Options, net *link.Net, group *process.Group) (*Set, error) {
	s := &Set{options: o, net: net, group: group}
	for i := range o.Count {
		dir, err := filepath.Abs(filepath.Join(o.Dir, fmt.Sprint("r", i)))
		if err != nil {
			return nil, err
		}
		r := &Replica{Name: fmt.Sprint("r", i), dir: dir}
		for _, target := range []*string{&r.httpAddress, &r.raftAddress} {
			address, release, err := link.Reserve()
			if err != nil {
				s.ReleasePorts()
				return nil, err
			}
			*target = address
			s.releasePorts = append(s.releasePorts, release)
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

// configure creates a replica's links to the other replicas and writes its configuration file.
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

// Address returns the HTTP address at which the replica itself listens, not the address of a link to it.
func (r *Replica) Address() string { return r.httpAddress }

func (r *Replica) configPath() string { return filepath.Join(r.dir, "config.toml") }

// Connect creates links from a party to all replicas and returns the addresses of the links.
func (s *Set) Connect(from string) ([]string, error) {
	var addresses []string
	for _, r := range s.All {
		address, err := s.net.Connect(link.Ends{From: from, To: r.Name}, r.httpAddress)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
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

// Proc returns the process of the replica that was started last, whether it still runs or not.
func (r *Replica) Proc() *process.Proc {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proc
}

// StartAll starts all replicas and waits until they are ready.
func (s *Set) StartAll(ctx context.Context) error {
	for _, r := range s.All {
		if err := s.Start(r); err != nil {
			return err
		}
	}
	return s.AwaitReady(ctx)
}

// AwaitReady waits until each replica has the list and knows the leader.
func (s *Set) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, r := range s.All {
		if err := r.Proc().WaitReady(ctx, "http://"+r.httpAddress+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// Kill ends a replica by SIGKILL. Then its addresses refuse connections, as no process listens there.
func (r *Replica) Kill() error { return r.Proc().KillWait() }

// InjectFault kills, pauses or restarts the named replica, fills its disk, or damages its log. After
// duration, a killed replica is started again, and a paused replica continues. To damage its log, the replica
// is killed, and it is started with the damaged log after duration; if it then exits, it is replaced in the
// way an operator replaces it. endTimeout bounds the time that a replica may take to end after SIGTERM.
func (s *Set) InjectFault(ctx context.Context, name, do string, duration, endTimeout time.Duration) error {
	i := slices.IndexFunc(s.All, func(r *Replica) bool { return r.Name == name })
	if i < 0 {
		return fmt.Errorf("inject fault: there is no replica %s", name)
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
	if startAgain, err := r.Proc().ApplyFault(ctx, do, duration, endTimeout); err != nil || !startAgain {
		return err
	}
	return s.Start(r)
}

// ReleasePorts releases the reserved ports. It neither ends the processes nor closes the links; the process
// group and the network do.
func (s *Set) ReleasePorts() {
	for _, f := range s.releasePorts {
		f()
	}
}
