package scale

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"wrenspread/internal/backoff"
)

// uptakeMessages are the messages of a node's log that report what the node has taken up. The value is the
// key of the attribute that holds its number.
var uptakeMessages = map[string]string{"policy": "version", "tenants": "catalogue"}

// uptakes records what each of many nodes has taken up last, and when, according to their logs.
type uptakes struct {
	begun  time.Time
	byKind map[string][]uptake // by kind of message, then by node
}

// uptake is what a node has last taken up of one kind: its number, the time in ns since the start of the
// measurement, and how often the node has taken up something of the kind.
type uptake struct{ number, at, count atomic.Int64 }

func newUptakes(nodes int) *uptakes {
	n := &uptakes{begun: time.Now(), byKind: map[string][]uptake{}}
	for kind := range uptakeMessages {
		n.byKind[kind] = make([]uptake, nodes)
	}
	return n
}

// handler is the handler of a node's log.
func (n *uptakes) handler(node int) slog.Handler { return uptakeHandler{n, node} }

// uptakeHandler is a log handler that records a node's uptakes.
type uptakeHandler struct {
	uptakes *uptakes
	node    int
}

func (uptakeHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}
func (l uptakeHandler) WithAttrs([]slog.Attr) slog.Handler { return l }
func (l uptakeHandler) WithGroup(string) slog.Handler      { return l }

// Handle records the number in a line of the log that reports an uptake.
func (l uptakeHandler) Handle(_ context.Context, r slog.Record) error {
	key, known := uptakeMessages[r.Message]
	if !known {
		return nil
	}
	r.Attrs(func(a slog.Attr) bool {
		if a.Key != key {
			return true
		}
		t := &l.uptakes.byKind[r.Message][l.node]
		t.at.Store(int64(time.Since(l.uptakes.begun)))
		t.number.Store(int64(a.Value.Uint64()))
		t.count.Add(1)
		return false
	})
	return nil
}

// meanCount is how often a node has taken up something of a kind, averaged over the nodes.
func (n *uptakes) meanCount(kind string) float64 {
	sum := int64(0)
	for i := range n.byKind[kind] {
		sum += n.byKind[kind][i].count.Load()
	}
	return float64(sum) / float64(len(n.byKind[kind]))
}

// await waits until every node has a number of a kind, and returns the times from since until each node had
// it, sorted; 0 for a node that had it before. No higher number may come during the wait.
func (n *uptakes) await(ctx context.Context, kind string, number uint64, since time.Time) ([]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var all []float64
	for i := range n.byKind[kind] {
		t := &n.byKind[kind][i]
		for t.number.Load() < int64(number) {
			if !backoff.Sleep(ctx, time.Millisecond) {
				return nil, fmt.Errorf(
					"node %d of %d stays at %s %d, not %d: %w",
					i,
					len(n.byKind[kind]),
					kind,
					t.number.Load(),
					number,
					ctx.Err(),
				)
			}
		}
		all = append(all, max(0, seconds(time.Duration(t.at.Load())-since.Sub(n.begun))))
	}
	slices.Sort(all)
	return all, nil
}

// tally collects the times of many changes: for each change the time until half, 99 in 100, and all of the
// nodes have it.
type tally struct{ medians, percentiles99, slowest []float64 }

func (t *tally) add(times []float64) {
	n := len(times)
	t.medians, t.percentiles99, t.slowest = append(
		t.medians,
		times[n/2],
	), append(
		t.percentiles99,
		times[n*99/100],
	), append(
		t.slowest,
		times[n-1],
	)
}

// addFigures adds the medians over the changes, and the longest time until the last node had a change.
func (t *tally) addFigures(what string, into map[string]float64) {
	into[what+"_last_worst_s"] = slices.Max(t.slowest)
	into[what+"_half_s"], into[what+"_most99_s"], into[what+"_last_s"] = spreadOf(
		t.medians,
	).Median, spreadOf(
		t.percentiles99,
	).Median, spreadOf(
		t.slowest,
	).Median
}
