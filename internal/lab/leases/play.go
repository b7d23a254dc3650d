package leases

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/process"
	"wrenspread/internal/lab/replicas"
)

// Options say what is played.
type Options struct {
	Crew     CrewOptions
	Seed     uint64
	Replicas int
	Length   time.Duration
	Dir      string
	List     []string // command of a replica
	Env      []string // of both kinds of process
}

const (
	endTime   = 20 * time.Second
	readyTime = 30 * time.Second // only a hang takes so long
)

// Lab is a running registry with workers on it.
type Lab struct {
	o     Options
	log   *history.Log
	net   *link.Net
	group *process.Group
	Set   *replicas.Set
	Crew  *Crew
}

// Begin starts the replicas and the workers, and waits until every lease has a holder.
func Begin(ctx context.Context, o Options) (l *Lab, err error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("duties: %w", err)
	}
	log, err := history.New(filepath.Join(o.Dir, "history.jsonl"))
	if err != nil {
		return nil, err
	}
	l = &Lab{o: o, log: log, net: link.NewNet(o.Seed), group: process.NewGroup(log)}
	defer func() {
		if err != nil {
			besteffort.Close(l)
		}
	}()
	if l.Set, err = replicas.New(
		replicas.Options{Count: o.Replicas, Dir: o.Dir, Command: o.List, Env: o.Env, Seed: o.Seed},
		l.net,
		l.group,
	); err != nil {
		return nil, err
	}
	if err := l.Set.Begin(ctx); err != nil {
		return nil, err
	}
	o.Crew.Dir, o.Crew.Env = o.Dir, o.Env
	if l.Crew, err = NewCrew(o.Crew, l.Set, l.net, l.group); err != nil {
		return nil, err
	}
	if err := l.Crew.Start(); err != nil {
		return nil, err
	}
	return l, l.Held(ctx)
}

// Held waits until every lease has had a write from now on.
func (l *Lab) Held(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	return l.Crew.Await(ctx, Now())
}

// Close ends all processes and links.
func (l *Lab) Close() error {
	l.group.Close(endTime)
	l.net.Close()
	if l.Set != nil {
		l.Set.Free()
	}
	if l.Crew != nil {
		l.Crew.Close()
	}
	return l.log.Close()
}

// bad lists processes that ended as they were not told to.
func (l *Lab) bad() (all []string) {
	for _, e := range l.log.Events() {
		if e.Kind == history.Proc && e.Bad {
			all = append(all, fmt.Sprintf("%s (pid %d) %s: %s", e.Node, e.Pid, e.How, e.Detail))
		}
	}
	return all
}

// Outcome is what a run shows.
type Outcome struct {
	Seed    uint64
	Guarded bool
	Acts    int // taken by the resource
	Down    int // turned down by it
	Grants  int
	Faults  int
	Broken  []string
	Unsure  bool
	Longest time.Duration // without a holder, at the worst
}

// Line is the run in one line.
func (o Outcome) Line() string {
	what := map[bool]string{true: "behind a guard", false: "by time alone"}[o.Guarded]
	switch {
	case len(o.Broken) > 0:
		return fmt.Sprintf("FAIL duties: seed %d, %s, %s (and %d more)", o.Seed, what, o.Broken[0], len(o.Broken)-1)
	case o.Unsure:
		return fmt.Sprintf("VOID duties: seed %d, the check took over %v", o.Seed, checkTime)
	}
	return fmt.Sprintf(
		"PASS duties: seed %d, %s, %d faults, %d grants, %d acts taken, %d turned down, %v at most without a holder",
		o.Seed,
		what,
		o.Faults,
		o.Grants,
		o.Acts,
		o.Down,
		o.Longest.Round(time.Millisecond),
	)
}

// Play plays one run. Where the resource has no guard, processes and replicas are
// killed and cut off, but none stands still: then time alone has to keep holders apart.
func Play(ctx context.Context, o Options) (out Outcome, err error) {
	l, err := Begin(ctx, o)
	if err != nil {
		return Outcome{}, err
	}
	faults := draw(o)
	err = l.carryOut(ctx, faults)
	if err == nil {
		err = l.Set.Ready(ctx)
	}
	if err == nil {
		if e := l.Held(ctx); e != nil {
			out.Broken = append(out.Broken, e.Error())
		}
	}
	err = errors.Join(err, l.Crew.End(endTime))
	l.group.Close(endTime)
	acts, down := l.Crew.Resource.Acts()
	out.Seed, out.Guarded, out.Acts, out.Down, out.Faults = o.Seed, o.Crew.Guarded, len(acts), down, len(faults)
	if gaps := Gaps(acts); len(gaps) > 0 {
		out.Grants, out.Longest = len(gaps)+o.Crew.Duties, gaps[0].Took
	}
	broken, sure, e := l.Crew.Judge()
	out.Broken, out.Unsure = append(append(out.Broken, broken...), l.bad()...), !sure
	return out, errors.Join(err, e, l.Close())
}

// fault is one thing that goes wrong for a while.
type fault struct {
	at, last time.Duration
	do       string
	who      string // a worker, the holder or a replica
}

// holder stands for the worker that holds the first lease when the fault comes.
const holder = "holder"

// draw draws the faults of a run by its seed.
func draw(o Options) []fault {
	chance := rand.New(rand.NewPCG(o.Seed, 0x64757479))
	menu := []string{
		"worker-kill",
		"worker-restart",
		"worker-upgrade",
		"worker-cut",
		"worker-cut-back",
		"replica-kill",
		"replica-cut",
		"all-kill",
	}
	if o.Crew.Guarded {
		menu = append(menu, "worker-pause", "worker-pause", "replica-pause", "worker-kill-replica")
	}
	var all []fault
	for at := 200 * time.Millisecond; ; {
		f := fault{
			at:   at,
			do:   menu[chance.IntN(len(menu))],
			last: time.Duration(chance.Int64N(int64(3*o.Crew.TTL))) + 50*time.Millisecond,
		}
		if f.at+f.last > o.Length {
			return all
		}
		if f.who = fmt.Sprint("d", chance.IntN(o.Crew.Workers)); chance.IntN(3) > 0 {
			f.who = holder
		}
		if strings.HasPrefix(f.do, "replica") {
			f.who = fmt.Sprint("r", chance.IntN(o.Replicas))
		}
		all = append(all, f)
		at += f.last + time.Duration(chance.Int64N(int64(o.Crew.TTL)))
	}
}

// carryOut plays the faults, one after the other.
func (l *Lab) carryOut(ctx context.Context, faults []fault) error {
	start := l.log.Now()
	for i, f := range faults {
		if !backoff.Sleep(ctx, start+f.at-l.log.Now()) {
			return ctx.Err()
		}
		if f.who == holder {
			f.who = l.Crew.Holding("duty0")
		}
		name := fmt.Sprintf("%d-%s", i+1, f.do)
		l.log.Add(history.Event{Kind: history.Fault, How: "begin", Detail: name, Also: []string{f.who}})
		err := l.suffer(ctx, name, f)
		l.log.Add(history.Event{Kind: history.Fault, How: "end", Detail: name})
		if err != nil {
			return fmt.Errorf("fault %s: %w", name, err)
		}
	}
	return nil
}

func (l *Lab) suffer(ctx context.Context, name string, f fault) error {
	on, do, _ := strings.Cut(f.do, "-")
	switch {
	case f.do == "worker-cut", f.do == "worker-cut-back", f.do == "replica-cut":
		way := link.Both
		if f.do == "worker-cut-back" { // it is heard, and hears nothing
			way = link.Back
		}
		l.net.Lay(name, link.Shape{Hold: way, Cut: true}, func(e link.Ends) bool {
			return e.To != "resource" &&
				(e.From == f.who || strings.HasPrefix(e.To, f.who) && on == "replica" && strings.HasPrefix(e.From, "r"))
		})
		backoff.Sleep(ctx, f.last)
		l.net.Lift(name)
		return nil
	case f.do == "all-kill":
		for _, r := range l.Set.All {
			if err := r.Kill(); err != nil {
				return err
			}
		}
		backoff.Sleep(ctx, f.last)
		for _, r := range l.Set.All {
			if err := l.Set.Start(r); err != nil {
				return err
			}
		}
		return nil
	case f.do == "worker-kill-replica": // holder and leader may die together
		errs := make(chan error, 1)
		go func() { errs <- l.Set.Suffer(ctx, fmt.Sprint("r", int(f.at)%l.o.Replicas), "kill", f.last, endTime) }()
		return errors.Join(l.Crew.Suffer(ctx, f.who, "kill", f.last, endTime), <-errs)
	case on == "replica":
		return l.Set.Suffer(ctx, f.who, do, f.last, endTime)
	}
	return l.Crew.Suffer(ctx, f.who, do, f.last, endTime)
}
