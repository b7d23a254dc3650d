package scale

import (
	"context"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/process"
)

// A fault's worst second is searched for in steps of a fifth of a second.
const (
	sampleEvery      = 200 * time.Millisecond
	samplesPerSecond = 5 // steps of sampleEvery in a second
)

// peakUse is the most that processes have used in a second, and the most memory that they had.
type peakUse struct{ cores, read, written, rss float64 }

// measureCost calls do and returns what each node and the replica have used for it, in all and in the worst
// second.
func (r rig) measureCost(ctx context.Context, do func() error) (map[string]float64, error) {
	service := []*process.Proc{r.service}
	nodes, err := useOfAll(r.nodes)
	if err != nil {
		return nil, err
	}
	before, err := useOfAll(service)
	if err != nil {
		return nil, err
	}
	changing, stop := context.WithCancel(ctx)
	type found struct {
		nodes, service peakUse
		err            error
	}
	peaks := make(chan found, 1)
	go func() {
		var f found
		f.nodes, f.service, f.err = samplePeaks(ctx, changing, r.nodes, service)
		peaks <- f
	}()
	began := time.Now()
	err = do()
	took := time.Since(began)
	backoff.Sleep(ctx, time.Second) // nodes store their lists, and the last second is complete
	stop()
	peak := <-peaks
	if err == nil {
		err = peak.err
	}
	if err != nil {
		return nil, err
	}
	nodesAfter, err := useOfAll(r.nodes)
	if err != nil {
		return nil, err
	}
	after, err := useOfAll(service)
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

// samplePeaks samples the use of nodes and of a service until changing ends, and for a whole second at least:
// a peak is the use in a second. It returns the peaks of both, or an error where ctx ends before that.
func samplePeaks(ctx, changing context.Context, nodes, service []*process.Proc) (n, s peakUse, err error) {
	type sample struct {
		at             time.Time
		nodes, service use
	}
	var all []sample
	for {
		one := sample{at: time.Now()}
		if one.nodes, err = useOfAll(nodes); err != nil {
			return n, s, err
		}
		if one.service, err = useOfAll(service); err != nil {
			return n, s, err
		}
		all = append(all, one)
		wait := ctx
		if len(all) > samplesPerSecond {
			wait = changing
			first := all[len(all)-1-samplesPerSecond]
			n.update(one.nodes, first.nodes, one.at.Sub(first.at))
			s.update(one.service, first.service, one.at.Sub(first.at))
		}
		if !backoff.Sleep(wait, sampleEvery) {
			return n, s, ctx.Err()
		}
	}
}

// update raises the peaks by the use between two samples that are took apart.
func (w *peakUse) update(now, before use, took time.Duration) {
	used, per := now.minus(before), took.Seconds()
	*w = peakUse{
		max(w.cores, seconds(used.CPU)/per),
		max(w.read, used.Read/per),
		max(w.written, used.Written/per),
		max(w.rss, now.RSS),
	}
}
