package scale

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/proxy"
)

// updateMessages holds the log messages with which a node reports an applied update: a policy or a catalogue
// of tenants. The value is the key of the attribute that holds the number of the update.
var updateMessages = map[string]string{
	proxy.PolicyMessage:    proxy.PolicyVersionKey,
	proxy.CatalogueMessage: proxy.CatalogueNumberKey,
}

// appliedUpdates records which update of each kind each node has applied last, according to the nodes' logs.
type appliedUpdates struct {
	begun  time.Time
	byKind map[string][]appliedUpdate // by log message, then by node
}

// appliedUpdate is the last update of one kind that a node has applied: its number, the time of its
// application in ns since begun, and how many updates of the kind the node has applied so far.
type appliedUpdate struct{ number, appliedAt, count atomic.Int64 }

func newAppliedUpdates(nodes int) *appliedUpdates {
	n := &appliedUpdates{begun: time.Now(), byKind: map[string][]appliedUpdate{}}
	for kind := range updateMessages {
		n.byKind[kind] = make([]appliedUpdate, nodes)
	}
	return n
}

// handler returns the handler of a node's log.
func (n *appliedUpdates) handler(node int) slog.Handler { return updateHandler{n, node} }

// updateHandler is a log handler that records the updates that a node applies.
type updateHandler struct {
	updates *appliedUpdates
	node    int
}

func (updateHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}
func (l updateHandler) WithAttrs([]slog.Attr) slog.Handler { return l }
func (l updateHandler) WithGroup(string) slog.Handler      { return l }

// Handle records the update that a log message reports; it ignores all other messages.
func (l updateHandler) Handle(_ context.Context, r slog.Record) error {
	key, known := updateMessages[r.Message]
	if !known {
		return nil
	}
	r.Attrs(func(a slog.Attr) bool {
		if a.Key != key {
			return true
		}
		t := &l.updates.byKind[r.Message][l.node]
		t.appliedAt.Store(int64(time.Since(l.updates.begun)))
		t.number.Store(int64(a.Value.Uint64()))
		t.count.Add(1)
		return false
	})
	return nil
}

// meanCount returns how many updates of a kind a node has applied, averaged over the nodes.
func (n *appliedUpdates) meanCount(kind string) float64 {
	sum := int64(0)
	for i := range n.byKind[kind] {
		sum += n.byKind[kind][i].count.Load()
	}
	return float64(sum) / float64(len(n.byKind[kind]))
}

// await waits until every node has applied the update of a kind with the given number. It returns the times
// from since until each node had applied the update, sorted; 0 for a node that had applied it before. No
// later update of the kind may be made during the wait.
func (n *appliedUpdates) await(
	ctx context.Context,
	kind string,
	number uint64,
	since time.Time) ([]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var times []float64
	for i := range n.byKind[kind] {
		t := &n.byKind[kind][i]
		for t.number.Load() < int64(number) {
			if !backoff.Sleep(ctx, time.Millisecond) {
				return nil, fmt.Errorf(
					"wait for an update: node %d of %d has %s %d, want %d: %w",
					i,
					len(n.byKind[kind]),
					kind,
					t.number.Load(),
					number,
					ctx.Err(),
				)
			}
		}
		times = append(times, max(0, seconds(time.Duration(t.appliedAt.Load())-since.Sub(n.begun))))
	}
	slices.Sort(times)
	return times, nil
}

// changeTimes collects the times of many changes. For each change it has the times until half of the nodes,
// 99 in 100 nodes and all nodes have the change.
type changeTimes struct{ medians, percentiles99, slowest []float64 }

func (t *changeTimes) add(times []float64) {
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

// addFigures adds the medians over the changes to figures, and the longest time until the last node had a
// change. Their names begin with prefix.
func (t *changeTimes) addFigures(prefix string, figures map[string]float64) {
	figures[prefix+"_last_worst_s"] = slices.Max(t.slowest)
	figures[prefix+"_half_s"], figures[prefix+"_most99_s"], figures[prefix+"_last_s"] = spreadOf(
		t.medians,
	).Median, spreadOf(
		t.percentiles99,
	).Median, spreadOf(
		t.slowest,
	).Median
}
