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

// newsKinds are the lines of a node's log that tell what it has taken up, with the key of its number.
var newsKinds = map[string]string{"policy": "version", "tenants": "catalogue"}

// news is what many nodes have taken up last, and when, as their logs tell.
type news struct {
	begun time.Time
	of    map[string][]taken // by kind, each node's
}

type taken struct{ number, when, times atomic.Int64 }

func newNews(nodes int) *news {
	n := &news{begun: time.Now(), of: map[string][]taken{}}
	for kind := range newsKinds {
		n.of[kind] = make([]taken, nodes)
	}
	return n
}

// log is the handler of a node's log.
func (n *news) log(node int) slog.Handler { return listener{n, node} }

type listener struct {
	to   *news
	node int
}

func (listener) Enabled(_ context.Context, level slog.Level) bool { return level >= slog.LevelInfo }
func (l listener) WithAttrs([]slog.Attr) slog.Handler             { return l }
func (l listener) WithGroup(string) slog.Handler                  { return l }

// Handle takes a line of the log.
func (l listener) Handle(_ context.Context, r slog.Record) error {
	key, known := newsKinds[r.Message]
	if !known {
		return nil
	}
	r.Attrs(func(a slog.Attr) bool {
		if a.Key != key {
			return true
		}
		t := &l.to.of[r.Message][l.node]
		t.when.Store(int64(time.Since(l.to.begun)))
		t.number.Store(int64(a.Value.Uint64()))
		t.times.Add(1)
		return false
	})
	return nil
}

// times is how often a node has taken something of a kind up, in the mean.
func (n *news) times(kind string) float64 {
	sum := int64(0)
	for i := range n.of[kind] {
		sum += n.of[kind][i].times.Load()
	}
	return float64(sum) / float64(len(n.of[kind]))
}

// await waits until every node has a number of a kind, and gives the times from a moment until each had it,
// in order; 0 for one that had it before. No higher one may come meanwhile.
func (n *news) await(ctx context.Context, kind string, number uint64, since time.Time) ([]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	var all []float64
	for i := range n.of[kind] {
		t := &n.of[kind][i]
		for t.number.Load() < int64(number) {
			if !backoff.Sleep(ctx, time.Millisecond) {
				return nil, fmt.Errorf(
					"node %d of %d stays at %s %d, not %d: %w",
					i,
					len(n.of[kind]),
					kind,
					t.number.Load(),
					number,
					ctx.Err(),
				)
			}
		}
		all = append(all, max(0, seconds(time.Duration(t.when.Load())-since.Sub(n.begun))))
	}
	slices.Sort(all)
	return all, nil
}

// tally collects the times of many changes.
type tally struct{ half, most, last []float64 }

func (t *tally) add(times []float64) {
	n := len(times)
	t.half, t.most, t.last = append(
		t.half,
		times[n/2],
	), append(
		t.most,
		times[n*99/100],
	), append(
		t.last,
		times[n-1],
	)
}

// figures returns the medians over the changes, and the worst last one.
func (t *tally) figures(what string, into map[string]float64) {
	into[what+"_last_worst_s"] = slices.Max(t.last)
	into[what+"_half_s"], into[what+"_most99_s"], into[what+"_last_s"] = spreadOf(
		t.half,
	).Median, spreadOf(
		t.most,
	).Median, spreadOf(
		t.last,
	).Median
}
