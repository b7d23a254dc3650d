package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"wrenspread/internal/backoff"
	"wrenspread/internal/config"
	"wrenspread/internal/lease"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// Config is what a keeper is told.
type Config struct {
	Process    string        `koanf:"process"` // the name of this process, the same over its restarts
	Registry   []string      `koanf:"list"`    // replicas of the list service
	Listen     string        `koanf:"listen"`  // for /report, /healthz and /metrics
	Every      time.Duration `koanf:"every"`   // between two looks
	Repair     bool          `koanf:"repair"`  // else it only reports
	Proxies    []Proxy       `koanf:"node"`
	Quotas     Quotas        `koanf:"shares"` // of the limits of the operators' policy; without a fleet this process shares none out
	Thresholds `koanf:",squash"`
}

// Proxy is a node that is looked at.
type Proxy struct {
	Name    string `koanf:"name"`
	Control string `koanf:"control"`
}

// Default is the configuration but for names and addresses.
func Default() Config {
	return Config{Listen: "127.0.0.1:8700", Every: 5 * time.Second, Repair: true, Thresholds: Thresholds{Settle: 15 * time.Second, Orphan: 5 * time.Minute}}
}

// Check says what is wrong with a configuration, by its keys.
func (c Config) Check() error {
	var f config.Problems
	bad, address := f.Require, f.RequireAddress
	bad(c.Process != "", "process: missing; it names this process, the same over its restarts")
	bad(len(c.Registry) > 0, "list: missing; it has the addresses of the list service")
	for _, a := range c.Registry {
		address("list", a)
	}
	address("listen", c.Listen)
	bad(c.Every >= 100*time.Millisecond, "every: %v is under 100ms", c.Every)
	bad(c.Settle > 0 && c.Orphan >= c.Settle, "settle and orphan: %v and %v, want the second not below the first", c.Settle, c.Orphan)
	for _, n := range c.Proxies {
		bad(n.Name != "", "node: one has no name")
		address("node "+n.Name+": control", n.Control)
	}
	c.Quotas.check(&f)
	return f.Err()
}

const (
	callTimeout       = 2 * time.Second // for one address to answer
	registryTimeout   = 10 * time.Second
	maxParallelChecks = 32 // addresses looked at at once
	closeTimeout      = 5 * time.Second
	leaseName         = "keeper"
	maxStats          = 1 << 20 // bytes of a node's figures
	metricName        = "indigokeeper"
)

// Controller is one process that may hold the keeper's duty.
type Controller struct {
	config    Config
	log       *slog.Logger
	client    *client.Client
	http      *http.Client
	mu        sync.Mutex
	holding   bool
	checkedAt time.Time
	findings  []Finding
	repairs   int
}

// Report is what /report shows.
type Report struct {
	Process   string    `json:"process"`
	Holding   bool      `json:"holds"` // the duty; else another looks
	CheckedAt time.Time `json:"looked"`
	Findings  []Finding `json:"findings"`
	Repairs   int       `json:"repairs"` // by this process
}

// Run looks whenever it holds the duty, until ctx ends.
func Run(ctx context.Context, c Config, log *slog.Logger) error {
	if err := c.Check(); err != nil {
		return err
	}
	k, err := client.New(client.Config{Addresses: c.Registry})
	if err != nil {
		return err
	}
	defer k.Close()
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	w := &Controller{config: c, log: log, client: k, http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	srv := &http.Server{Handler: w.routes(), ReadHeaderTimeout: callTimeout}
	go srv.Serve(ln) // until Close
	defer srv.Close()
	p, err := lease.Open(lease.Config{Client: k, Process: c.Process, Info: registry.ProcessInfo{Address: ln.Addr().String(), Note: "keeper"}, Log: log})
	if err != nil {
		return err
	}
	log.Info("serving", "listen", ln.Addr().String(), "nodes", len(c.Proxies))
	all, ctx := errgroup.WithContext(ctx)
	all.Go(func() error { return p.Run(ctx, leaseName, w.checkRepeatedly) })
	if c.Quotas.Fleet != "" {
		all.Go(func() error { return c.Quotas.run(ctx, c.Process, k, p, log) })
	}
	closed := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { closed <- p.Close(closeTimeout) }) // while the duties end: without the service they would not
	err = all.Wait()
	if errors.Is(err, context.Canceled) || errors.Is(err, lease.ErrClosed) {
		err = nil
	}
	if stop() {
		return errors.Join(err, p.Close(closeTimeout))
	}
	return errors.Join(err, <-closed)
}

func (w *Controller) routes() http.Handler {
	registry := prometheus.NewRegistry()
	gauge := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metricName, Name: name, Help: help}, value))
	}
	gauge("holds", "1 if this process holds the keeper's duty", func() float64 {
		if w.Report().Holding {
			return 1
		}
		return 0
	})
	gauge("findings", "what does not agree", func() float64 { return float64(len(w.Report().Findings)) })
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: metricName, Name: "repairs_total", Help: "orphans taken off the list by this process"},
		func() float64 { return float64(w.Report().Repairs) }))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /report", func(out http.ResponseWriter, _ *http.Request) {
		out.Header().Set("Content-Type", "application/json")
		json.NewEncoder(out).Encode(w.Report()) // a caller that has left needs nothing
	})
	return mux
}

// Report gives the last findings.
func (w *Controller) Report() Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Report{w.config.Process, w.holding, w.checkedAt, w.findings, w.repairs}
}

// checkRepeatedly looks again and again, as the holder of the duty.
func (w *Controller) checkRepeatedly(ctx context.Context, f lease.Token) error {
	w.setHolding(true)
	defer w.setHolding(false)
	core, start := NewChecker(w.config.Thresholds), time.Now()
	for ctx.Err() == nil {
		look, err := w.observe(ctx)
		if err != nil {
			w.log.Warn("no look at the list", "err", err) // it is not held against anybody
		} else {
			look.At = time.Since(start)
			findings, repairs := core.Check(look)
			w.recordFindings(findings)
			w.removeOrphans(ctx, f, repairs)
		}
		backoff.Sleep(ctx, w.config.Every)
	}
	return ctx.Err()
}

func (w *Controller) setHolding(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holding, w.findings = on, nil
}

func (w *Controller) recordFindings(findings []Finding) {
	w.mu.Lock()
	before := map[Finding]bool{}
	for _, f := range w.findings {
		f.Lasting = 0
		before[f] = true
	}
	w.findings, w.checkedAt = findings, time.Now()
	w.mu.Unlock()
	for _, f := range findings {
		if d := f.Lasting; !before[Finding{Kind: f.Kind, Subject: f.Subject, Detail: f.Detail}] {
			w.log.Warn("it does not agree", "what", f.Kind, "who", f.Subject, "detail", f.Detail, "for", d)
		}
	}
}

// removeOrphans takes orphans off the list, under the fence and as they were judged.
func (w *Controller) removeOrphans(ctx context.Context, f lease.Token, all []Repair) {
	if !w.config.Repair {
		return
	}
	for _, r := range all {
		call, cancel := context.WithTimeout(ctx, registryTimeout)
		_, err := w.client.WithToken(f).Remove(call, r.Name, &r.Version)
		cancel()
		if err != nil {
			w.log.Warn("an orphan stays", "who", r.Name, "err", err)
			continue
		}
		w.log.Warn("an orphan is taken off the list", "who", r.Name, "why", r.Reason)
		w.mu.Lock()
		w.repairs++
		w.mu.Unlock()
	}
}
