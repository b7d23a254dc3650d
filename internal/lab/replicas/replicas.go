// Package replicas runs real replicas of the registry in a lab: their
// folders, their processes, and a link between any two of them.
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

// Options say what is run.
type Options struct {
	Count   int
	Dir     string   // under which each has its folder
	Command []string // of a replica; its configuration file is added
	Seed    uint64   // of damage

	Election time.Duration // 0: a short one, of which links on loopback take no part
	Snapshot int           // entries of the log after which one is made; 0: so few that every run has some
	Env      []string
}

const (
	readyTime = 30 * time.Second // only a hang takes so long
	election  = 150 * time.Millisecond

	// snapshotAfter is so few entries of the log that every run has snapshots made, and
	// replicas that were away for some seconds brought up by one.
	snapshotAfter = 64
)

// Set is the replicas of one service.
type Set struct {
	o     Options
	net   *link.Net
	group *process.Group
	All   []*Replica
	frees []func()
}

// Replica is one of them, through all its processes.
type Replica struct {
	Name       string
	dir        string
	http, raft string
	mu         sync.Mutex
	proc       *process.Proc
}

// New makes the replicas' folders and links. Names are r0, r1 and so on; links
// between them end at NAME for raft and at NAME/http for what they pass on.
func New(o Options, net *link.Net, group *process.Group) (*Set, error) {
	s := &Set{o: o, net: net, group: group}
	for i := range o.Count {
		dir, err := filepath.Abs(filepath.Join(o.Dir, fmt.Sprint("r", i)))
		if err != nil {
			return nil, err
		}
		r := &Replica{Name: fmt.Sprint("r", i), dir: dir}
		for _, at := range []*string{&r.http, &r.raft} {
			address, free, err := link.Reserve()
			if err != nil {
				s.Free()
				return nil, err
			}
			*at = address
			s.frees = append(s.frees, free)
		}
		s.All = append(s.All, r)
	}
	for _, r := range s.All {
		if err := s.configure(r); err != nil {
			s.Free()
			return nil, err
		}
	}
	return s, nil
}

// configure lays a replica's links and writes its file.
func (s *Set) configure(r *Replica) error {
	var text strings.Builder
	fmt.Fprintf(
		&text,
		"name = %q\nfolder = %q\nlisten = %q\nraft = %q\nbegin = %v\nelection = %q\nsnapshot = %d\nmax_writes = 100000.0\n",
		r.Name,
		r.folder(),
		r.http,
		r.raft,
		r == s.All[0],
		cmp.Or(s.o.Election, election),
		cmp.Or(s.o.Snapshot, snapshotAfter),
	)
	for _, o := range s.All {
		raft, http := r.raft, r.http
		if o != r {
			var err error
			if raft, err = s.net.Connect(link.Ends{From: r.Name, To: o.Name}, o.raft); err != nil {
				return err
			}
			if http, err = s.net.Connect(link.Ends{From: r.Name, To: o.Name + "/http"}, o.http); err != nil {
				return err
			}
		}
		if s.o.Count > 1 {
			fmt.Fprintf(&text, "[[replica]]\nname = %q\nraft = %q\nhttp = %q\n", o.Name, raft, http)
		}
	}
	if err := os.MkdirAll(r.dir, 0o755); err != nil {
		return fmt.Errorf("%s: %w", r.Name, err)
	}
	if err := os.WriteFile(r.file(), []byte(text.String()), 0o644); err != nil {
		return fmt.Errorf("%s: %w", r.Name, err)
	}
	return nil
}

// Address is where the replica itself listens, without a link.
func (r *Replica) Address() string { return r.http }

func (r *Replica) file() string { return filepath.Join(r.dir, "config.toml") }

// Doors lays links from a party to all replicas and gives the addresses at which it finds them.
func (s *Set) Doors(from string) ([]string, error) {
	var all []string
	for _, r := range s.All {
		door, err := s.net.Connect(link.Ends{From: from, To: r.Name}, r.http)
		if err != nil {
			return nil, err
		}
		all = append(all, door)
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
			Command: append(append([]string(nil), s.o.Command...), "--config", r.file()),
			Dir:     r.dir,
			MayFail: mayFail,
			Env:     append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir}, s.o.Env...),
		},
	)
	if err == nil {
		r.proc = p
	}
	return err
}

// Proc is the replica's present process, or its last.
func (r *Replica) Proc() *process.Proc {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proc
}

// Begin starts all and waits until each has the list and knows the leader.
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
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for _, r := range s.All {
		if err := r.Proc().WaitReady(ctx, "http://"+r.http+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// Kill ends a replica at once; its addresses then refuse by themselves.
func (r *Replica) Kill() error { return r.Proc().KillWait() }

// Suffer kills, pauses or restarts the replica of that name, fills its disk, or
// spoils its log. A killed one is started again after last, a paused one goes on
// then; one that is told to end has patience for it. One whose log is spoilt
// while it is down is replaced as an operator would do it.
func (s *Set) Suffer(ctx context.Context, name, do string, last, patience time.Duration) error {
	i := slices.IndexFunc(s.All, func(r *Replica) bool { return r.Name == name })
	if i < 0 {
		return fmt.Errorf("there is no replica %s", name)
	}
	r := s.All[i]
	switch do {
	case "full":
		return r.fill(ctx, last)
	case "corrupt":
		if err := r.Kill(); err != nil {
			return err
		}
		backoff.Sleep(ctx, last)
		return s.replace(ctx, r)
	}
	if again, err := r.Proc().Suffer(ctx, do, last, patience); err != nil || !again {
		return err
	}
	return s.Start(r)
}

// Free gives the reserved ports back. The processes and links are the group's and the network's.
func (s *Set) Free() {
	for _, f := range s.frees {
		f()
	}
}
