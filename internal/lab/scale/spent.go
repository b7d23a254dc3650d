package scale

import (
	"context"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/process"
)

// A fault's worst second is looked for in steps of a fifth of one.
const (
	sampleEvery = 200 * time.Millisecond
	worstOver   = 5 // samples
)

// worst is the most that processes have used in a second, and the most memory that they had.
type worst struct{ cores, read, written, rss float64 }

// spent does something and gives what each node and the replica have used for it, in all and in the worst
// second.
func (r rig) spent(ctx context.Context, do func() error) (map[string]float64, error) {
	service := []*process.Proc{r.service}
	nodes, err := usedBy(r.nodes)
	if err != nil {
		return nil, err
	}
	before, err := usedBy(service)
	if err != nil {
		return nil, err
	}
	following, stop := context.WithCancel(ctx)
	type found struct {
		nodes, service worst
		err            error
	}
	peaks := make(chan found, 1)
	go func() {
		var f found
		f.nodes, f.service, f.err = follow(following, r.nodes, service)
		peaks <- f
	}()
	began := time.Now()
	err = do()
	took := time.Since(began)
	backoff.Sleep(ctx, time.Second) // what is kept is written, and a second is whole
	stop()
	peak := <-peaks
	if err == nil {
		err = peak.err
	}
	if err != nil {
		return nil, err
	}
	nodesAfter, err := usedBy(r.nodes)
	if err != nil {
		return nil, err
	}
	after, err := usedBy(service)
	work, served, each := nodesAfter.minus(nodes), after.minus(before), float64(r.Nodes)
	return map[string]float64{
		"took_s":               seconds(took),
		"node_cpu_s":           seconds(work.CPU) / each,
		"node_bytes_in":        work.Read / each,
		"node_bytes_kept":      work.Written / each,
		"replica_cpu_s":        seconds(served.CPU),
		"replica_bytes_out":    served.Written,
		"node_peak_cores":      peak.nodes.cores / each,
		"node_peak_bytes":      peak.nodes.read / each,
		"node_memory_bytes":    peak.nodes.rss / each,
		"replica_peak_cores":   peak.service.cores,
		"replica_peak_bytes":   peak.service.written,
		"replica_memory_bytes": peak.service.rss,
	}, err
}

// follow samples the use of nodes and of a service until ctx ends.
func follow(ctx context.Context, nodes, service []*process.Proc) (n, s worst, err error) {
	type sample struct {
		at             time.Time
		nodes, service use
	}
	var all []sample
	for {
		one := sample{at: time.Now()}
		if one.nodes, err = usedBy(nodes); err != nil {
			return n, s, err
		}
		if one.service, err = usedBy(service); err != nil {
			return n, s, err
		}
		if all = append(all, one); len(all) > worstOver {
			first := all[len(all)-1-worstOver]
			n.see(one.nodes, first.nodes, one.at.Sub(first.at))
			s.see(one.service, first.service, one.at.Sub(first.at))
		}
		if !backoff.Sleep(ctx, sampleEvery) {
			return n, s, nil
		}
	}
}

func (w *worst) see(now, before use, took time.Duration) {
	did, per := now.minus(before), took.Seconds()
	*w = worst{
		max(w.cores, seconds(did.CPU)/per),
		max(w.read, did.Read/per),
		max(w.written, did.Written/per),
		max(w.rss, now.RSS),
	}
}
