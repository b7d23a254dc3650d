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

// releaseRun is a release that real controllers carry out during the load.
type releaseRun struct {
	fleet       *fleet
	client      *client.Client
	agents      *agents
	controllers []*controller
	startErr    error
	done        sync.WaitGroup
}

// controller is one controller, of a release or of the quota, over all of its process incarnations.
type controller struct {
	name string
	spec process.Spec
	mu   sync.Mutex
	proc *process.Proc
}

const (
	releaseName        = "r"
	oldVersion         = "v1"
	newVersion         = "v2"
	controllerTTL      = "2s"
	controllerInterval = 250 * time.Millisecond
)

// startRelease starts the controllers, and puts the release into the registry at its time.
func (f *fleet) startRelease(ctx context.Context) error {
	r := f.experiment.Release
	if r == nil {
		return nil
	}
	f.release = &releaseRun{fleet: f}
	bad := map[string]backend.Degradation{}
	if r.Slower > 1 || r.Fails > 0 {
		bad[newVersion] = backend.Degradation{Slower: r.Slower, Fails: r.Fails}
	}
	var err error
	if f.release.agents, err = newAgents(f, oldVersion, bad); err != nil {
		return err
	}
	for i := range r.Conductors {
		c, err := f.newReleaseController(fmt.Sprint("c", i))
		if err != nil {
			return err
		}
		f.release.controllers = append(f.release.controllers, c)
		if err := c.start(f.group); err != nil {
			return err
		}
	}
	f.release.client = f.service.registrar.client
	f.release.done.Go(func() {
		if f.sleepUntil(ctx, time.Duration(r.At)) {
			f.release.startErr = f.release.startRelease(ctx)
		}
	})
	return nil
}

// newReleaseController writes the configuration of a controller of the release. It starts no process.
func (f *fleet) newReleaseController(name string) (*controller, error) {
	dir, err := filepath.Abs(filepath.Join(f.options.Dir, name))
	if err != nil {
		return nil, err
	}
	registryAddresses, err := f.service.set.Connect(name)
	if err != nil {
		return nil, err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "process = %q\nevery = %q\ngrace = \"1s\"\n", name, controllerInterval)
	for _, n := range f.nodeNames {
		fmt.Fprintf(&text, "[[node]]\nname = %q\ncontrol = %q\n", n, f.nodes[n].controlAddress)
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
		strings.Join(registryAddresses, ","),
		"--config",
		file,
		"--ttl",
		controllerTTL,
	}
	return &controller{
		name: name,
		spec: process.Spec{Name: name, Command: append(append([]string(nil), f.options.CtlCommand...), args...), Dir: dir,
			Env: append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir}, f.options.Env...), MayEnd: true},
	}, nil
}

// start starts a process of the controller.
func (c *controller) start(g *process.Group) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, err := g.Start(c.spec)
	if err == nil {
		c.proc = p
	}
	return err
}

// injectFault kills, pauses or restarts a controller. A controller that has ended is started again.
func (c *controller) injectFault(ctx context.Context, f *fleet, do string, duration time.Duration) error {
	c.mu.Lock()
	p := c.proc
	c.mu.Unlock()
	if again, err := p.ApplyFault(ctx, do, duration, shutdownTimeout); err != nil || !again {
		return err
	}
	return c.start(f.group)
}

// startRelease puts the release of the experiment into the registry.
func (r *releaseRun) startRelease(ctx context.Context) error {
	e := r.fleet.experiment.Release
	p := release.DefaultPlan()
	p.Name, p.From, p.To, p.Limits, p.Soak, p.Halt = releaseName, oldVersion, newVersion, release.Limits{
		Total: e.Out,
	}, time.Duration(
		e.Soak,
	), e.Halt
	// The gate has to detect a bad version by comparison with the backends that don't run it.
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
		Verdict: 10 * time.Second,
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
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

// verdicts checks that the release ended in the expected phase, that never more backends were unavailable
// than allowed, and that all backends run the version of this phase.
func (r *releaseRun) verdicts() []check.Verdict {
	e := r.fleet.experiment.Release
	v := check.Verdict{
		Name: "release",
		Rule: "the release comes to be " + e.End + ", with no more out than it may",
		Seen: len(r.agents.backends),
	}
	fail := func(format string, args ...any) {
		v.Broken = append(v.Broken, check.Finding{Text: fmt.Sprintf(format, args...)})
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	s, err := r.finalState(ctx)
	if err != nil {
		fail("%v", err)
		return []check.Verdict{v}
	}
	serving, maxUnavailable := r.agents.servingByVersion()
	v.Rule += fmt.Sprintf(
		" (%v; %d out at the most, wave %d of %d)",
		serving,
		maxUnavailable,
		s.Wave+1,
		len(s.Plan.Waves),
	)
	if s.Phase != release.Phase(e.End) {
		fail("it is %s: %s", s.Phase, s.HaltReason)
	}
	if maxUnavailable > e.Out {
		fail("%d boxes were out at once, %d may be", maxUnavailable, e.Out)
	}
	want := map[release.Phase]string{release.Finished: newVersion, release.RolledBack: oldVersion}[s.Phase]
	if want != "" && serving[want] != len(r.agents.backends) {
		fail("%d of %d boxes serve in %s", serving[want], len(r.agents.backends), want)
	}
	return []check.Verdict{v}
}

// finalState reads the release from the registry.
func (r *releaseRun) finalState(ctx context.Context) (*release.State, error) {
	if r.startErr != nil {
		return nil, r.startErr
	}
	s, err := release.Read(ctx, r.client, releaseName)
	var refused *client.Error
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return nil, errors.New("it was not put on record")
	}
	return s, err
}

// finish waits up to readyTimeout for the release to reach the expected phase, checks it, and ends the
// controllers.
func (r *releaseRun) finish(ctx context.Context) error {
	r.done.Wait()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if s, err := r.finalState(
			ctx,
		); err != nil || string(s.Phase) == r.fleet.experiment.Release.End && len(s.Actions()) == 0 ||
			!backoff.Sleep(ctx, 100*time.Millisecond) {
			break
		}
	}
	r.fleet.releaseVerdicts = r.verdicts()
	return terminateAll(r.controllers)
}

// terminateAll ends controllers. The registry has to be still running, as controllers release their leases.
func terminateAll(all []*controller) error {
	var errs []error
	for _, c := range all {
		c.mu.Lock()
		if c.proc.Running() {
			errs = append(errs, c.proc.Term(shutdownTimeout))
		}
		c.mu.Unlock()
	}
	return errors.Join(errs...)
}
