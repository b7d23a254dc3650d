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

// rig is one replica of the registry, and the nodes that follow it.
type rig struct {
	Sizes
	k         *client.Client // client of the replica
	replica   *process.Proc
	nodes     []*process.Proc
	controls  []string      // control addresses of the measured nodes
	extra     *process.Proc // process of the hollow nodes that are not measured; nil: there are none
	listFiles []string      // files of the cached lists of the measured nodes
	subsets   bool
	view      bool // whether the nodes have a membership view of the fleet
}

// extraNodes describes further hollow nodes, which run in a process that is not measured.
type extraNodes struct {
	nodes           int
	restartInterval time.Duration // time between two restarts of extra nodes; 0: they do not restart
	restartsPerHour int           // rate of the restarts of nodes and backends that the point records; 0: none
	leaseTTL        time.Duration // time to live of the entries' leases; 0: the entries have no leases
}

// withNodes starts a replica with size.Backends entries and the nodes, and calls do once all nodes are ready.
func (n *Nodes) withNodes(ctx context.Context, size Sizes, do func(rig) error) error {
	return n.withReplica(ctx, 0, func(set *replicas.Set, k *client.Client) error {
		if err := concurrently(ctx, 0, size.Backends, registerEntry(k, n.extra.leaseTTL)); err != nil {
			return err
		}
		dir, err := os.MkdirTemp(n.Dir, "nodes")
		if err != nil {
			return err
		}
		defer func() { besteffort.Cleanup(os.RemoveAll(dir)) }()
		r := rig{Sizes: size, k: k, replica: set.All[0].Proc(), subsets: n.Subsets, view: n.View}
		var release func()
		controls, release, err := n.configure(dir, size.Nodes+n.extra.nodes, set.All[0].Address())
		defer release()
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
			r.listFiles = append(r.listFiles, listFile(dir, i))
		}
		if n.View && n.extra.restartInterval == 0 {
			if err := r.awaitStat(ctx, "fleet.alive", len(controls)); err != nil {
				return err
			}
		}
		if n.Watchers > 0 {
			list, err := k.CurrentList(ctx)
			if err != nil {
				return err
			}
			watchers, err := n.startWatchers(ctx, []string{set.All[0].Address()}, watchersAtOnce,
				n.Watchers, list.Index)
			if err != nil {
				return err
			}
			defer watchers.close()
		}
		backoff.Sleep(ctx, time.Second) // until the nodes have finished the work of their start
		return do(r)
	})
}

// configure writes the configurations of the nodes, each with its own addresses. It returns the control
// addresses, and a function that releases the reserved addresses.
func (n *Nodes) configure(dir string, nodes int, registryAddress string) (
	controls []string, release func(), err error) {
	var releases []func()
	release = func() {
		for _, releaseAddress := range releases {
			releaseAddress()
		}
	}
	reserve := func() string {
		address, releaseAddress, e := link.Reserve()
		if e != nil {
			err = e
			return ""
		}
		releases = append(releases, releaseAddress)
		return address
	}
	peers := repeatedString(nodes, "127.0.0.1:0")
	if n.View {
		if peers, err = freeUDPAddresses(nodes); err != nil {
			return nil, release, err
		}
	}
	for i := range nodes {
		node := platform.Node{
			Name:    fmt.Sprint("n", i),
			Number:  i,
			Nodes:   max(n.NotifiedNodes, nodes),
			Zone:    zoneOf(i),
			Listen:  reserve(),
			Control: reserve(),
			RegistryAddresses: []string{
				registryAddress,
			},
			RegistryCacheFile: listFile(dir, i),
			RegistrySubset:    n.Subsets,
			PeerListen:        peers[i],
			Seed:              uint64(i + 1),
		}
		if n.View {
			node.Peers, node.Fleet = peers, "scale"
		}
		if err == nil {
			err = node.Write(configFile(dir, i), drawnWorld, 1)
		}
		if err != nil {
			return nil, release, err
		}
		controls = append(controls, node.Control)
	}
	return controls, release, nil
}

// listFile returns the path of the i-th node's cached list.
func listFile(dir string, i int) string { return filepath.Join(dir, fmt.Sprint("list", i)) }

// startNodes starts the nodes, as one process if they are hollow and as one process each if they are real,
// and waits until each node is ready.
func (n *Nodes) startNodes(
	ctx context.Context,
	group *process.Group,
	dir string,
	controls []string,
) (procs []*process.Proc, err error) {
	if n.Kind == "hollow" {
		p, err := n.startHollow(
			ctx,
			group,
			dir,
			"hollow",
			controls,
			append(slices.Clone(n.StartCommand), dir, strconv.Itoa(len(controls))),
		)
		return []*process.Proc{p}, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i, control := range controls {
		p, err := n.startProcess(group, dir, fmt.Sprint("n", i), "GW_CONFIG="+configFile(dir, i), n.StartCommand)
		if err != nil {
			return nil, err
		}
		if err := p.WaitReady(ctx, "http://"+control+"/healthcheck"); err != nil {
			return nil, err
		}
		procs = append(procs, p)
	}
	return procs, nil
}

// startExtra starts the process of the extra nodes; firstNode is the number of the first of them.
func (n *Nodes) startExtra(
	ctx context.Context,
	group *process.Group,
	dir string,
	firstNode int,
	controls []string,
) (*process.Proc, error) {
	command := append(
		slices.Clone(n.StartCommand[:len(n.StartCommand)-1]),
		"beside",
		dir,
		strconv.Itoa(firstNode),
		strconv.Itoa(len(controls)),
		n.extra.restartInterval.String(),
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

// useOfAll returns the sum of what the processes have used.
func useOfAll(procs []*process.Proc) (sum use, err error) {
	for _, p := range procs {
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
