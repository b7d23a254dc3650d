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
	putErr      error          // error of putting the release into the registry; read after done
	done        sync.WaitGroup // done once the release has been put into the registry
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
	controllerTTL      = "2s" // TTL of the controllers' lease
	controllerInterval = 250 * time.Millisecond
)

// startRelease starts the agents and the release controllers, and a goroutine that puts the release into the
// registry at its time.
func (f *fleet) startRelease(ctx context.Context) error {
	settings := f.experiment.Release
	if settings == nil {
		return nil
	}
	f.release = &releaseRun{fleet: f}
	degradations := map[string]backend.Degradation{}
	if settings.SlowFactor > 1 || settings.FailedShare > 0 {
		degradations[newVersion] = backend.Degradation{Slower: settings.SlowFactor, FailShare: settings.FailedShare}
	}
	var err error
	if f.release.agents, err = newAgents(f, oldVersion, degradations); err != nil {
		return err
	}
	for i := range settings.Controllers {
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
		if f.sleepUntil(ctx, time.Duration(settings.At)) {
			f.release.putErr = f.release.putRelease(ctx)
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
	registryAddresses, err := f.service.replicas.Connect(name)
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
	configPath := filepath.Join(dir, "conductor.toml")
	if err := os.WriteFile(configPath, []byte(text.String()), 0o644); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	args := []string{
		"release",
		"conduct",
		releaseName,
		"--list",
		strings.Join(registryAddresses, ","),
		"--config",
		configPath,
		"--ttl",
		controllerTTL,
	}
	return &controller{
		name: name,
		spec: process.Spec{Name: name, Command: append(append([]string(nil), f.options.CtlCommand...), args...),
			Dir: dir,
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
	if startAgain, err := p.ApplyFault(ctx, do, duration, shutdownTimeout); err != nil || !startAgain {
		return err
	}
	return c.start(f.group)
}

// putRelease puts the release of the experiment into the registry.
func (r *releaseRun) putRelease(ctx context.Context) error {
	settings := r.fleet.experiment.Release
	plan := release.DefaultPlan()
	plan.Name, plan.From, plan.To, plan.Limits, plan.Soak, plan.Halt =
		releaseName, oldVersion, newVersion, release.Limits{
			Total: settings.MaxUnavailable,
		}, time.Duration(
			settings.Soak,
		), settings.OnHalt
	// The gate has to detect a bad version by comparing its backends with the backends that do not run it.
	plan.Gate.MinRequests, plan.Gate.IncidentThreshold = settings.MinGateRequests, 0.5
	if plan.Waves = nil; settings.PassGates {
		plan.Gate = release.Gate{MaxFailedExcess: 1, MaxLateExcess: 1, IncidentThreshold: 1}
	}
	for _, w := range settings.Waves {
		plan.Waves = append(plan.Waves, release.Wave{Share: w})
	}
	plan.Deadline = release.Deadline{
		Drain:   10 * time.Second,
		Replace: 10 * time.Second,
		Ready:   10 * time.Second,
		Verdict: 10 * time.Second,
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	list, err := r.client.CurrentList(ctx)
	if err != nil {
		return err
	}
	state, err := release.NewForPlan(plan, release.TargetsOf(list.Endpoints))
	if err != nil {
		return err
	}
	return release.Start(ctx, r.client, state)
}

// verdicts checks that the release ended in the expected phase, that at no time more backends were
// unavailable than allowed, and, if the release finished or rolled back, that all backends serve the version
// of this phase.
func (r *releaseRun) verdicts() []check.Verdict {
	settings := r.fleet.experiment.Release
	verdict := check.Verdict{
		Name: "release",
		Rule: "the release comes to be " + settings.FinalPhase + ", with no more out than it may",
		Seen: len(r.agents.backends),
	}
	fail := func(format string, args ...any) {
		verdict.Broken = append(verdict.Broken, check.Finding{Text: fmt.Sprintf(format, args...)})
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	state, err := r.finalState(ctx)
	if err != nil {
		fail("%v", err)
		return []check.Verdict{verdict}
	}
	serving, maxUnavailable := r.agents.servingByVersion()
	verdict.Rule += fmt.Sprintf(
		" (%v; %d out at the most, wave %d of %d)",
		serving,
		maxUnavailable,
		state.Wave+1,
		len(state.Plan.Waves),
	)
	if state.Phase != release.Phase(settings.FinalPhase) {
		fail("it is %s: %s", state.Phase, state.HaltReason)
	}
	if maxUnavailable > settings.MaxUnavailable {
		fail("%d boxes were out at once, %d may be", maxUnavailable, settings.MaxUnavailable)
	}
	wantVersion := map[release.Phase]string{
		release.Finished: newVersion, release.RolledBack: oldVersion}[state.Phase]
	if wantVersion != "" && serving[wantVersion] != len(r.agents.backends) {
		fail("%d of %d boxes serve in %s", serving[wantVersion], len(r.agents.backends), wantVersion)
	}
	return []check.Verdict{verdict}
}

// finalState reads the release from the registry.
func (r *releaseRun) finalState(ctx context.Context) (*release.State, error) {
	if r.putErr != nil {
		return nil, r.putErr
	}
	state, err := release.Read(ctx, r.client, releaseName)
	var refused *client.Error
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return nil, errors.New("it was not put on record")
	}
	return state, err
}

// finish waits up to readyTimeout until the release is in the expected phase and no action remains. It then
// checks the release and ends its controllers.
func (r *releaseRun) finish(ctx context.Context) error {
	r.done.Wait()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if state, err := r.finalState(
			ctx,
		); err != nil ||
			string(state.Phase) == r.fleet.experiment.Release.FinalPhase && len(state.Actions()) == 0 ||
			!backoff.Sleep(ctx, 100*time.Millisecond) {
			break
		}
	}
	r.fleet.releaseVerdicts = r.verdicts()
	return terminateAll(r.controllers)
}

// terminateAll ends the controllers that run, by SIGTERM. The registry has to run, because controllers
// release their leases when they end.
func terminateAll(controllers []*controller) error {
	var errs []error
	for _, c := range controllers {
		c.mu.Lock()
		if c.proc.Running() {
			errs = append(errs, c.proc.Term(shutdownTimeout))
		}
		c.mu.Unlock()
	}
	return errors.Join(errs...)
}
