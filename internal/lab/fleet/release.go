package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/backend"
	"wrenspread/internal/lab/check"
	"wrenspread/internal/lab/process"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/release"
)

// releasing is a release that real controllers carry out under the load.
type releasing struct {
	f      *fleet
	client *client.Client
	agents *agents
	all    []*conductor
	err    error
	done   sync.WaitGroup
}

// controller is one process that may conduct, through all its processes.
type conductor struct {
	name string
	spec process.Spec
	mu   sync.Mutex
	proc *process.Proc
}

const (
	releaseName  = "r"
	oldVersion   = "v1"
	newVersion   = "v2"
	conductTTL   = "2s"
	conductEvery = 250 * time.Millisecond
)

// startRelease starts the controllers, and puts the release on record at its time.
func (f *fleet) startRelease(ctx context.Context) error {
	r := f.e.Release
	if r == nil {
		return nil
	}
	f.release = &releasing{f: f}
	bad := map[string]backend.Trouble{}
	if r.Slower > 1 || r.Fails > 0 {
		bad[newVersion] = backend.Trouble{Slower: r.Slower, Fails: r.Fails}
	}
	var err error
	if f.release.agents, err = newAgents(f, oldVersion, bad); err != nil {
		return err
	}
	for i := range r.Conductors {
		c, err := f.newConductor(fmt.Sprint("c", i))
		if err != nil {
			return err
		}
		f.release.all = append(f.release.all, c)
		if err := c.start(f.group); err != nil {
			return err
		}
	}
	f.release.client = f.service.boxes.client
	f.release.done.Go(func() {
		if f.sleepUntil(ctx, time.Duration(r.At)) {
			f.release.err = f.release.put(ctx)
		}
	})
	return nil
}

func (f *fleet) newConductor(name string) (*conductor, error) {
	dir, err := filepath.Abs(filepath.Join(f.o.Dir, name))
	if err != nil {
		return nil, err
	}
	doors, err := f.service.set.Connect(name)
	if err != nil {
		return nil, err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "process = %q\nevery = %q\ngrace = \"1s\"\n", name, conductEvery)
	for _, n := range f.names {
		fmt.Fprintf(&text, "[[node]]\nname = %q\ncontrol = %q\n", n, f.nodes[n].control)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	file := filepath.Join(dir, "conductor.toml")
	if err := os.WriteFile(file, []byte(text.String()), 0o644); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	args := []string{
		"release",
		"conduct",
		releaseName,
		"--list",
		strings.Join(doors, ","),
		"--config",
		file,
		"--ttl",
		conductTTL,
	}
	return &conductor{
		name: name,
		spec: process.Spec{Name: name, Command: append(append([]string(nil), f.o.Ctl...), args...), Dir: dir,
			Env: append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir}, f.o.Env...), MayEnd: true},
	}, nil
}

func (c *conductor) start(g *process.Group) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, err := g.Start(c.spec)
	if err == nil {
		c.proc = p
	}
	return err
}

// suffer does to a controller what a step orders.
func (c *conductor) suffer(ctx context.Context, f *fleet, do string, last time.Duration) error {
	c.mu.Lock()
	p := c.proc
	c.mu.Unlock()
	if again, err := p.Suffer(ctx, do, last, endTime); err != nil || !again {
		return err
	}
	return c.start(f.group)
}

// put puts the release on record.
func (r *releasing) put(ctx context.Context) error {
	e := r.f.e.Release
	p := release.Default()
	p.Name, p.From, p.To, p.Limits, p.Soak, p.Halt = releaseName, oldVersion, newVersion, release.Limits{
		Total: e.Out,
	}, time.Duration(
		e.Soak,
	), e.Halt
	// what a version does wrong has to show beside the rest
	p.Gate.MinRequests, p.Gate.IncidentThreshold = e.Least, 0.5
	if p.Waves = nil; e.Gateless {
		p.Gate = release.Gate{MaxFailedExcess: 1, MaxLateExcess: 1, IncidentThreshold: 1}
	}
	for _, w := range e.Waves {
		p.Waves = append(p.Waves, release.Wave{Share: w})
	}
	p.Deadline = release.Deadline{
		Drain:   10 * time.Second,
		Replace: 10 * time.Second,
		Ready:   10 * time.Second,
		Judge:   10 * time.Second,
	}
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	a, err := r.client.CurrentList(ctx)
	if err != nil {
		return err
	}
	s, err := release.NewForPlan(p, release.TargetsOf(a.Endpoints))
	if err != nil {
		return err
	}
	return release.Start(ctx, r.client, s)
}

// verdicts says where the release came to.
func (r *releasing) verdicts() []check.Verdict {
	e := r.f.e.Release
	v := check.Verdict{
		Name: "release",
		Rule: "the release comes to be " + e.End + ", with no more out than it may",
		Seen: len(r.agents.boxes),
	}
	fail := func(format string, args ...any) {
		v.Broken = append(v.Broken, check.Finding{Text: fmt.Sprintf(format, args...)})
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTime)
	defer cancel()
	s, err := r.last(ctx)
	if err != nil {
		fail("%v", err)
		return []check.Verdict{v}
	}
	by, out := r.agents.versions()
	v.Rule += fmt.Sprintf(" (%v; %d out at the most, wave %d of %d)", by, out, s.Wave+1, len(s.Plan.Waves))
	if s.Phase != release.Phase(e.End) {
		fail("it is %s: %s", s.Phase, s.HaltReason)
	}
	if out > e.Out {
		fail("%d boxes were out at once, %d may be", out, e.Out)
	}
	want := map[release.Phase]string{release.Finished: newVersion, release.RolledBack: oldVersion}[s.Phase]
	if want != "" && by[want] != len(r.agents.boxes) {
		fail("%d of %d boxes serve in %s", by[want], len(r.agents.boxes), want)
	}
	return []check.Verdict{v}
}

// last is the record as the run's end found it.
func (r *releasing) last(ctx context.Context) (*release.State, error) {
	if r.err != nil {
		return nil, r.err
	}
	s, err := release.Read(ctx, r.client, releaseName)
	var refused *client.Error
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return nil, errors.New("it was not put on record")
	}
	return s, err
}

// end waits a little for the release to come to its end, and ends the controllers.
func (r *releasing) end(ctx context.Context) error {
	r.done.Wait()
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for {
		if s, err := r.last(
			ctx,
		); err != nil || string(s.Phase) == r.f.e.Release.End && len(s.Actions()) == 0 ||
			!backoff.Sleep(ctx, 100*time.Millisecond) {
			break
		}
	}
	r.f.releaseVerdicts = r.verdicts()
	return endAll(r.all)
}

// endAll ends controllers and keepers ahead of the registry, to which they give their leases back.
func endAll(all []*conductor) error {
	var errs []error
	for _, c := range all {
		c.mu.Lock()
		if c.proc.Running() {
			errs = append(errs, c.proc.Term(endTime))
		}
		c.mu.Unlock()
	}
	return errors.Join(errs...)
}
