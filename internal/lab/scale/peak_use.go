package scale

import (
	"context"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/process"
)

// The worst second of a fault is searched for in steps of a fifth of a second.
const (
	sampleInterval = 200 * time.Millisecond
	stepsPerSecond = 5 // steps of sampleInterval in a second
)

// peakUse holds the most that processes have used in a second, and the most memory that they have had.
type peakUse struct{ cores, read, written, rss float64 }

// measureCost calls do, and returns what each node and the replica have used during the call and the second
// after it, in total and in the worst second.
func (r rig) measureCost(ctx context.Context, do func() error) (map[string]float64, error) {
	replica := []*process.Proc{r.replica}
	nodes, err := useOfAll(r.nodes)
	if err != nil {
		return nil, err
	}
	before, err := useOfAll(replica)
	if err != nil {
		return nil, err
	}
	changing, stop := context.WithCancel(ctx)
	type peakResult struct {
		nodes, replica peakUse
		err            error
	}
	peaks := make(chan peakResult, 1)
	go func() {
		var f peakResult
		f.nodes, f.replica, f.err = samplePeaks(ctx, changing, r.nodes, replica)
		peaks <- f
	}()
	began := time.Now()
	err = do()
	took := time.Since(began)
	backoff.Sleep(ctx, time.Second) // until the nodes have stored their lists and the last second is complete
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
	after, err := useOfAll(replica)
	nodeWork, replicaWork, nodeCount := nodesAfter.minus(nodes), after.minus(before), float64(r.Nodes)
	return map[string]float64{
		"took_s":               seconds(took),
		"node_cpu_s":           seconds(nodeWork.CPU) / nodeCount,
		"node_bytes_in":        nodeWork.Read / nodeCount,
		"node_bytes_kept":      nodeWork.Written / nodeCount,
		"replica_cpu_s":        seconds(replicaWork.CPU),
		"replica_bytes_out":    replicaWork.Written,
		"node_peak_cores":      peak.nodes.cores / nodeCount,
		"node_peak_bytes":      peak.nodes.read / nodeCount,
		"node_memory_bytes":    peak.nodes.rss / nodeCount,
		"replica_peak_cores":   peak.replica.cores,
		"replica_peak_bytes":   peak.replica.written,
		"replica_memory_bytes": peak.replica.rss,
	}, err
}

// samplePeaks samples the use of nodes and of a replica until changing ends, and for at least a second, as a
// peak is the use in a second. It returns the peaks of both, or an error if ctx ends first.
func samplePeaks(ctx, changing context.Context, nodes, replica []*process.Proc) (
	nodePeaks, replicaPeaks peakUse, err error) {
	type sample struct {
		at             time.Time
		nodes, replica use
	}
	var samples []sample
	for {
		latest := sample{at: time.Now()}
		if latest.nodes, err = useOfAll(nodes); err != nil {
			return nodePeaks, replicaPeaks, err
		}
		if latest.replica, err = useOfAll(replica); err != nil {
			return nodePeaks, replicaPeaks, err
		}
		samples = append(samples, latest)
		waitCtx := ctx
		if len(samples) > stepsPerSecond {
			waitCtx = changing
			secondAgo := samples[len(samples)-1-stepsPerSecond]
			nodePeaks.update(latest.nodes, secondAgo.nodes, latest.at.Sub(secondAgo.at))
			replicaPeaks.update(latest.replica, secondAgo.replica, latest.at.Sub(secondAgo.at))
		}
		if !backoff.Sleep(waitCtx, sampleInterval) {
			return nodePeaks, replicaPeaks, ctx.Err()
		}
	}
}

// update raises the peaks to the use between two samples with the given time between them.
func (p *peakUse) update(now, before use, took time.Duration) {
	used, elapsed := now.minus(before), took.Seconds()
	*p = peakUse{
		max(p.cores, seconds(used.CPU)/elapsed),
		max(p.read, used.Read/elapsed),
		max(p.written, used.Written/elapsed),
		max(p.rss, now.RSS),
	}
}
