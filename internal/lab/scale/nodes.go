package scale

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"indigotack/internal/lab/history"
	"indigotack/internal/lab/link"
	"indigotack/internal/lab/platform"
	"indigotack/internal/lab/proc"
	"indigotack/internal/lab/replicas"
	"indigotack/internal/list/client"
	"indigotack/internal/pause"
)

const (
	changePace = 300 * time.Millisecond // between two of them
	readyTime  = time.Minute
	endTime    = 10 * time.Second
	sampled    = 3 // nodes that are asked for their figures of messages
)

// Nodes says which nodes are measured.
type Nodes struct {
	Lists
	Kind  string   // hollow or real
	Start []string // of a hollow process, its folder and number of nodes are added; of a real one
	View  bool     // they keep the view of the fleet
	Told  int      // how many nodes they are told that there are; 0: as many as there are
}

// Measure measures nodes at rest and by changes, by how many there are and by the backends that they know.
func (n *Nodes) Measure(ctx context.Context, sizes []Sizes) error {
	return n.record(n.Kind, func() ([]Point, error) {
		var all []Point
		for _, size := range sizes {
			by := map[string]int{"nodes": size.Nodes, "backends": size.Backends}
			p, err := repeated(n.Repeat, by, func() (f map[string]float64, err error) {
				err = n.with(ctx, size, func(r rig) error {
					f, err = n.worked(ctx, r)
					return err
				})
				return f, err
			})
			if err != nil {
				return nil, err
			}
			n.Say(p)
			all = append(all, p)
		}
		return all, nil
	})
}

// rig is nodes that follow one replica.
type rig struct {
	Sizes
	k        *client.Client
	service  *proc.Proc
	nodes    []*proc.Proc
	controls []string // of the nodes, where operators call
}

// with starts a replica with so many backends, and nodes, and does something once they are ready.
func (n *Nodes) with(ctx context.Context, size Sizes, do func(rig) error) error {
	return n.fresh(ctx, size.Backends, func(set *replicas.Set, k *client.Client) error {
		dir, err := os.MkdirTemp(n.Dir, "nodes")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		r := rig{Sizes: size, k: k, service: set.All[0].Proc()}
		var free func()
		r.controls, free, err = n.configure(dir, size.Nodes, set.All[0].Address())
		defer free()
		if err != nil {
			return err
		}
		log, err := history.New("")
		if err != nil {
			return err
		}
		group := proc.NewGroup(log)
		defer group.Close(endTime)
		if r.nodes, err = n.begin(ctx, group, dir, r.controls); err != nil {
			return err
		}
		if n.View {
			if err := r.all(ctx, "fleet.alive", size.Nodes); err != nil {
				return err
			}
		}
		pause.For(ctx, time.Second) // what begins is over
		return do(r)
	})
}

// worked takes the nodes' use over a rest, and over changes.
func (n *Nodes) worked(ctx context.Context, r rig) (map[string]float64, error) {
	sent, err := sentBy(ctx, r.controls)
	if err != nil {
		return nil, err
	}
	begun, err := usedBy(r.nodes)
	if err != nil {
		return nil, err
	}
	pause.For(ctx, n.Rest)
	rested, err := usedBy(r.nodes)
	if err != nil {
		return nil, err
	}
	start, made := time.Now(), 0
	for ; time.Since(start) < n.Rest-changePace; made++ {
		if _, err := change(ctx, r.k, made, r.Backends); err != nil {
			return nil, err
		}
		pause.For(ctx, time.Until(start.Add(time.Duration(made+1)*changePace)))
	}
	pause.For(ctx, time.Until(start.Add(n.Rest)))
	if _, err := r.k.Remove(ctx, fmt.Sprintf("s-%08x", r.Backends-1), nil); err != nil {
		return nil, err
	}
	made++
	if !n.Parts { // of which some have the last
		if err := r.all(ctx, "discovered", r.Backends-1); err != nil { // else what is counted are not these changes
			return nil, err
		}
	}
	worked, err := usedBy(r.nodes)
	if err != nil {
		return nil, err
	}
	sentAll, err := sentBy(ctx, r.controls)
	if err != nil {
		return nil, err
	}
	took := 2 * n.Rest.Seconds() * min(sampled, float64(r.Nodes))
	rest, work, each := rested.minus(begun), worked.minus(rested), float64(r.Nodes)
	perRest := func(all float64) float64 { return all / n.Rest.Seconds() / each }
	perChange := func(rest, work float64) float64 {
		return max(0, work-rest) / float64(made) / each
	}
	return map[string]float64{"rest_cores": perRest(seconds(rest.CPU)), "rest_bytes_in": perRest(rest.Read), "rest_bytes_out": perRest(rest.Written),
		"change_cpu_s": perChange(seconds(rest.CPU), seconds(work.CPU)), "change_bytes_in": perChange(rest.Read, work.Read),
		"change_bytes_out": perChange(rest.Written, work.Written), "memory_bytes": worked.RSS / each, "descriptors": worked.FDs / each,
		"datagrams_per_s": (sentAll.datagrams - sent.datagrams) / took, "datagram_bytes_per_s": (sentAll.bytes - sent.bytes) / took}, nil
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
		c := platform.Node{Name: fmt.Sprint("n", i), Number: i, Nodes: max(n.Told, nodes), Zone: zoneOf(i), Listen: reserve(), Control: reserve(),
			List: []string{service}, ListFile: filepath.Join(dir, fmt.Sprint("list", i)), ListPart: n.Parts, PeerListen: peers[i], Seed: uint64(i + 1)}
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

// begin starts the processes and waits until each node is ready.
func (n *Nodes) begin(ctx context.Context, group *proc.Group, dir string, controls []string) (all []*proc.Proc, err error) {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	start := func(name string, env string, command ...string) error {
		p, err := group.Start(proc.Spec{Name: name, Command: command, Dir: filepath.Join(dir, name), Env: append([]string{"HOME=" + dir, "TMPDIR=" + dir, env}, n.Env...)})
		all = append(all, p)
		return err
	}
	if n.Kind == "hollow" {
		if err := start("hollow", "PATH="+os.Getenv("PATH"), append(n.Start, dir, strconv.Itoa(len(controls)))...); err != nil {
			return nil, err
		}
	}
	for i, control := range controls {
		if n.Kind != "hollow" {
			if err := start(fmt.Sprint("n", i), "GW_CONFIG="+configOf(dir, i), n.Start...); err != nil {
				return nil, err
			}
		}
		if err := all[len(all)-1].WaitReady(ctx, "http://"+control+"/healthcheck"); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// usedBy sums what processes have used.
func usedBy(all []*proc.Proc) (sum use, err error) {
	for _, p := range all {
		u, err := useOf(p.Pid)
		if err != nil {
			return sum, err
		}
		sum = use{sum.CPU + u.CPU, sum.Read + u.Read, sum.Written + u.Written, sum.Calls + u.Calls, sum.RSS + u.RSS, sum.FDs + u.FDs}
	}
	return sum, nil
}
