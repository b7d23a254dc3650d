package scale

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/platform"
	"wrenspread/internal/lab/process"
	"wrenspread/internal/lab/replicas"
	"wrenspread/internal/registry/client"
)

// rig is nodes that follow one replica.
type rig struct {
	Sizes
	k        *client.Client
	service  *process.Proc
	nodes    []*process.Proc
	controls []string      // of the nodes, where operators call
	beside   *process.Proc // hollow nodes that are not measured
	files    []string      // of the nodes' kept lists
	parts    bool
	View     bool // the nodes keep one
}

// beside is further hollow nodes, in a process that is not measured.
type beside struct {
	nodes    int
	every    time.Duration // in which one of them restarts; 0: none does
	restarts int           // of nodes and backends an hour that the play is of; 0: it is of none
	lease    time.Duration // of the entries; 0: they have none
}

// with starts a replica with so many backends, and nodes, and does something once they are ready.
func (n *Nodes) with(ctx context.Context, size Sizes, do func(rig) error) error {
	return n.fresh(ctx, 0, func(set *replicas.Set, k *client.Client) error {
		if err := together(ctx, 0, size.Backends, registering(k, n.beside.lease)); err != nil {
			return err
		}
		dir, err := os.MkdirTemp(n.Dir, "nodes")
		if err != nil {
			return err
		}
		defer func() { besteffort.Cleanup(os.RemoveAll(dir)) }()
		r := rig{Sizes: size, k: k, service: set.All[0].Proc(), parts: n.Parts, View: n.View}
		var free func()
		controls, free, err := n.configure(dir, size.Nodes+n.beside.nodes, set.All[0].Address())
		defer free()
		if err != nil {
			return err
		}
		log, err := history.New("")
		if err != nil {
			return err
		}
		group := process.NewGroup(log)
		defer group.Close(endTime)
		r.controls = controls[:size.Nodes]
		if r.nodes, err = n.begin(ctx, group, dir, r.controls); err != nil {
			return err
		}
		if n.beside.nodes > 0 {
			if r.beside, err = n.begunBeside(ctx, group, dir, size.Nodes, controls[size.Nodes:]); err != nil {
				return err
			}
		}
		for i := range r.controls {
			r.files = append(r.files, listFile(dir, i))
		}
		if n.View && n.beside.every == 0 {
			if err := r.all(ctx, "fleet.alive", len(controls)); err != nil {
				return err
			}
		}
		if n.Watchers > 0 {
			now, err := k.CurrentList(ctx)
			if err != nil {
				return err
			}
			c, err := n.gather(ctx, []string{set.All[0].Address()}, arriveTogether, n.Watchers, now.Index)
			if err != nil {
				return err
			}
			defer c.end()
		}
		backoff.Sleep(ctx, time.Second) // what begins is over
		return do(r)
	})
}

// configure writes the nodes' files, with addresses of their own, and gives where operators call.
func (n *Nodes) configure(dir string, nodes int, service string) (controls []string, free func(), err error) {
	var frees []func()
	free = func() {
		for _, f := range frees {
			f()
		}
	}
	reserve := func() string {
		address, done, e := link.Reserve()
		if e != nil {
			err = e
			return ""
		}
		frees = append(frees, done)
		return address
	}
	peers := slicesOf(nodes, "127.0.0.1:0")
	if n.View {
		if peers, err = freeUDP(nodes); err != nil {
			return nil, free, err
		}
	}
	for i := range nodes {
		c := platform.Node{
			Name:    fmt.Sprint("n", i),
			Number:  i,
			Nodes:   max(n.Told, nodes),
			Zone:    zoneOf(i),
			Listen:  reserve(),
			Control: reserve(),
			List: []string{
				service,
			},
			ListFile:   listFile(dir, i),
			ListPart:   n.Parts,
			PeerListen: peers[i],
			Seed:       uint64(i + 1),
		}
		if n.View {
			c.Peers, c.Fleet = peers, "scale"
		}
		if err == nil {
			err = c.Write(configOf(dir, i), drawn, 1)
		}
		if err != nil {
			return nil, free, err
		}
		controls = append(controls, c.Control)
	}
	return controls, free, nil
}

func listFile(dir string, i int) string { return filepath.Join(dir, fmt.Sprint("list", i)) }

// begin starts the processes and waits until each node is ready.
func (n *Nodes) begin(
	ctx context.Context,
	group *process.Group,
	dir string,
	controls []string,
) (all []*process.Proc, err error) {
	if n.Kind == "hollow" {
		p, err := n.hollow(
			ctx,
			group,
			dir,
			"hollow",
			controls,
			append(slices.Clone(n.Start), dir, strconv.Itoa(len(controls))),
		)
		return []*process.Proc{p}, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for i, control := range controls {
		p, err := n.start(group, dir, fmt.Sprint("n", i), "GW_CONFIG="+configOf(dir, i), n.Start)
		if err != nil {
			return nil, err
		}
		if err := p.WaitReady(ctx, "http://"+control+"/healthcheck"); err != nil {
			return nil, err
		}
		all = append(all, p)
	}
	return all, nil
}

// begunBeside starts the process of the nodes beside, from the first on.
func (n *Nodes) begunBeside(
	ctx context.Context,
	group *process.Group,
	dir string,
	first int,
	controls []string,
) (*process.Proc, error) {
	command := append(
		slices.Clone(n.Start[:len(n.Start)-1]),
		"beside",
		dir,
		strconv.Itoa(first),
		strconv.Itoa(len(controls)),
		n.beside.every.String(),
	)
	return n.hollow(ctx, group, dir, "beside", controls, command)
}

// hollow starts a process of hollow nodes and waits until each is ready.
func (n *Nodes) hollow(
	ctx context.Context,
	group *process.Group,
	dir, name string,
	controls, command []string,
) (*process.Proc, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	p, err := n.start(group, dir, name, "PATH="+os.Getenv("PATH"), command)
	if err != nil {
		return nil, err
	}
	for _, control := range controls {
		if err := p.WaitReady(ctx, "http://"+control+"/healthcheck"); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (n *Nodes) start(group *process.Group, dir, name, env string, command []string) (*process.Proc, error) {
	return group.Start(
		process.Spec{
			Name:    name,
			Command: command,
			Dir:     filepath.Join(dir, name),
			Env:     append([]string{"HOME=" + dir, "TMPDIR=" + dir, env}, n.Env...),
		},
	)
}

// usedBy sums what processes have used.
func usedBy(all []*process.Proc) (sum use, err error) {
	for _, p := range all {
		u, err := useOf(p.Pid)
		if err != nil {
			return sum, err
		}
		sum = use{
			sum.CPU + u.CPU,
			sum.Read + u.Read,
			sum.Written + u.Written,
			sum.Calls + u.Calls,
			sum.RSS + u.RSS,
			sum.FDs + u.FDs,
		}
	}
	return sum, nil
}
