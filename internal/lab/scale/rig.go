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
	controls []string      // control addresses of the nodes
	extra    *process.Proc // process of the hollow nodes that are not measured
	files    []string      // files of the nodes' cached lists
	subsets  bool
	View     bool // whether the nodes have a view of the fleet
}

// extraNodes says which further hollow nodes run, in a process that is not measured.
type extraNodes struct {
	nodes    int
	every    time.Duration // time between two restarts of these nodes; 0: they do not restart
	restarts int           // restarts of nodes and backends an hour that are measured; 0: none
	lease    time.Duration // time to live of the entries' leases; 0: entries have no leases
}

// withNodes starts a replica with size.Backends backends, and the nodes, and calls do once the nodes are
// ready.
func (n *Nodes) withNodes(ctx context.Context, size Sizes, do func(rig) error) error {
	return n.withReplica(ctx, 0, func(set *replicas.Set, k *client.Client) error {
		if err := concurrently(ctx, 0, size.Backends, registerEntry(k, n.extra.lease)); err != nil {
			return err
		}
		dir, err := os.MkdirTemp(n.Dir, "nodes")
		if err != nil {
			return err
		}
		defer func() { besteffort.Cleanup(os.RemoveAll(dir)) }()
		r := rig{Sizes: size, k: k, service: set.All[0].Proc(), subsets: n.Subsets, View: n.View}
		var free func()
		controls, free, err := n.configure(dir, size.Nodes+n.extra.nodes, set.All[0].Address())
		defer free()
		if err != nil {
			return err
		}
		log, err := history.New("")
		if err != nil {
			return err
		}
		group := process.NewGroup(log)
		defer group.Close(stopTimeout)
		r.controls = controls[:size.Nodes]
		if r.nodes, err = n.startNodes(ctx, group, dir, r.controls); err != nil {
			return err
		}
		if n.extra.nodes > 0 {
			if r.extra, err = n.startExtra(ctx, group, dir, size.Nodes, controls[size.Nodes:]); err != nil {
				return err
			}
		}
		for i := range r.controls {
			r.files = append(r.files, listFile(dir, i))
		}
		if n.View && n.extra.every == 0 {
			if err := r.awaitStat(ctx, "fleet.alive", len(controls)); err != nil {
				return err
			}
		}
		if n.Watchers > 0 {
			now, err := k.CurrentList(ctx)
			if err != nil {
				return err
			}
			c, err := n.startWatchers(ctx, []string{set.All[0].Address()}, watchersAtOnce, n.Watchers, now.Index)
			if err != nil {
				return err
			}
			defer c.close()
		}
		backoff.Sleep(ctx, time.Second) // the work of the start has ended
		return do(r)
	})
}

// configure writes the nodes' configurations, with addresses of their own. It returns the control
// addresses, and free, which releases the reserved addresses.
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
	peers := repeatedString(nodes, "127.0.0.1:0")
	if n.View {
		if peers, err = freeUDPAddresses(nodes); err != nil {
			return nil, free, err
		}
	}
	for i := range nodes {
		c := platform.Node{
			Name:    fmt.Sprint("n", i),
			Number:  i,
			Nodes:   max(n.NotifiedNodes, nodes),
			Zone:    zoneOf(i),
			Listen:  reserve(),
			Control: reserve(),
			List: []string{
				service,
			},
			ListFile:   listFile(dir, i),
			ListPart:   n.Subsets,
			PeerListen: peers[i],
			Seed:       uint64(i + 1),
		}
		if n.View {
			c.Peers, c.Fleet = peers, "scale"
		}
		if err == nil {
			err = c.Write(configFile(dir, i), drawn, 1)
		}
		if err != nil {
			return nil, free, err
		}
		controls = append(controls, c.Control)
	}
	return controls, free, nil
}

// listFile is the path of the i-th node's cached list.
func listFile(dir string, i int) string { return filepath.Join(dir, fmt.Sprint("list", i)) }

// startNodes starts the processes and waits until each node is ready.
func (n *Nodes) startNodes(
	ctx context.Context,
	group *process.Group,
	dir string,
	controls []string,
) (all []*process.Proc, err error) {
	if n.Kind == "hollow" {
		p, err := n.startHollow(
			ctx,
			group,
			dir,
			"hollow",
			controls,
			append(slices.Clone(n.Start), dir, strconv.Itoa(len(controls))),
		)
		return []*process.Proc{p}, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i, control := range controls {
		p, err := n.startProcess(group, dir, fmt.Sprint("n", i), "GW_CONFIG="+configFile(dir, i), n.Start)
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

// startExtra starts the process of the extra nodes; first is the number of the first one.
func (n *Nodes) startExtra(
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
		n.extra.every.String(),
	)
	return n.startHollow(ctx, group, dir, "beside", controls, command)
}

// startHollow starts a process of hollow nodes and waits until each node is ready.
func (n *Nodes) startHollow(
	ctx context.Context,
	group *process.Group,
	dir, name string,
	controls, command []string,
) (*process.Proc, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	p, err := n.startProcess(group, dir, name, "PATH="+os.Getenv("PATH"), command)
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

func (n *Nodes) startProcess(
	group *process.Group,
	dir, name, env string,
	command []string,
) (*process.Proc, error) {
	return group.Start(
		process.Spec{
			Name:    name,
			Command: command,
			Dir:     filepath.Join(dir, name),
			Env:     append([]string{"HOME=" + dir, "TMPDIR=" + dir, env}, n.Env...),
		},
	)
}

// useOfAll sums what processes have used.
func useOfAll(all []*process.Proc) (sum use, err error) {
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
