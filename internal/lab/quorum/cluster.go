// Package quorum plays a cluster of real list-service replicas: clients that
// write, read and watch, faults drawn by seed, and a check of the whole history.
package quorum

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"indigotack/internal/lab/history"
	"indigotack/internal/lab/link"
	"indigotack/internal/lab/proc"
)

// Options say what is played.
type Options struct {
	Seed     uint64
	Replicas int
	Clients  int
	Length   time.Duration // of the clients' work and the faults
	Dir      string
	Command  []string // of a replica; its configuration file is added
	Env      []string
}

const (
	readyTime = 30 * time.Second // only a hang takes so long
	endTime   = 20 * time.Second
	election  = 150 * time.Millisecond
)

// cluster is the replicas with the links between them.
type cluster struct {
	o     Options
	log   *history.Log
	net   *link.Net
	group *proc.Group
	nodes []*replica
	frees []func()
}

type replica struct {
	name       string
	dir        string
	http, raft string
	door       string // where clients reach it
	mu         sync.Mutex
	proc       *proc.Proc
}

func newCluster(o Options, log *history.Log) (*cluster, error) {
	c := &cluster{o: o, log: log, net: link.NewNet(o.Seed), group: proc.NewGroup(log)}
	for i := range o.Replicas {
		r := &replica{name: fmt.Sprint("r", i), dir: filepath.Join(o.Dir, fmt.Sprint("r", i))}
		for _, at := range []*string{&r.http, &r.raft} {
			address, free, err := link.Reserve()
			if err != nil {
				c.close()
				return nil, err
			}
			*at = address
			c.frees = append(c.frees, free)
		}
		c.nodes = append(c.nodes, r)
	}
	for _, r := range c.nodes {
		if err := c.configure(r); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

// configure lays a replica's links and writes its file.
func (c *cluster) configure(r *replica) error {
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\nfolder = %q\nlisten = %q\nraft = %q\nbegin = %v\nelection = %q\nmax_writes = 100000.0\n", r.name,
		filepath.Join(r.dir, "data"), r.http, r.raft, r == c.nodes[0], election)
	for _, o := range c.nodes {
		raft, http := r.raft, r.http
		if o != r {
			var err error
			if raft, err = c.net.Connect(link.Ends{From: r.name, To: o.name}, o.raft); err != nil {
				return err
			}
			if http, err = c.net.Connect(link.Ends{From: r.name, To: o.name + "/http"}, o.http); err != nil {
				return err
			}
		}
		if c.o.Replicas > 1 {
			fmt.Fprintf(&text, "[[replica]]\nname = %q\nraft = %q\nhttp = %q\n", o.name, raft, http)
		}
	}
	var err error
	if r.door, err = c.net.Connect(link.Ends{From: "clients", To: r.name}, r.http); err != nil {
		return err
	}
	if err := os.MkdirAll(r.dir, 0o755); err != nil {
		return fmt.Errorf("%s: %w", r.name, err)
	}
	if err := os.WriteFile(r.file(), []byte(text.String()), 0o644); err != nil {
		return fmt.Errorf("%s: %w", r.name, err)
	}
	return nil
}

func (r *replica) file() string { return filepath.Join(r.dir, "config.toml") }

// start starts a replica's process.
func (c *cluster) start(r *replica) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, err := c.group.Start(proc.Spec{Name: r.name, Command: append(append([]string(nil), c.o.Command...), "--config", r.file()), Dir: r.dir,
		Env: append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir}, c.o.Env...)})
	if err == nil {
		r.proc = p
	}
	return err
}

func (r *replica) current() *proc.Proc {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proc
}

// begin starts all and waits until each has the list and knows the leader.
func (c *cluster) begin(ctx context.Context) error {
	for _, r := range c.nodes {
		if err := c.start(r); err != nil {
			return err
		}
	}
	return c.ready(ctx)
}

func (c *cluster) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for _, r := range c.nodes {
		if err := r.current().WaitReady(ctx, "http://"+r.door+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// kill ends a replica at once; its addresses then refuse by themselves.
func (r *replica) kill() error {
	p := r.current()
	if err := p.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-p.Exited()
	return nil
}

func (c *cluster) close() {
	c.group.Close(endTime)
	c.net.Close()
	for _, f := range c.frees {
		f()
	}
	http.DefaultClient.CloseIdleConnections()
}
