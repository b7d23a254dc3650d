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
	Process  string        `koanf:"process"` // the name of this process, the same over its restarts
	List     []string      `koanf:"list"`    // replicas of the list service
	Listen   string        `koanf:"listen"`  // for /report, /healthz and /metrics
	Every    time.Duration `koanf:"every"`   // between two looks
	Repair   bool          `koanf:"repair"`  // else it only reports
	Nodes    []Node        `koanf:"node"`
	Shares   Shares        `koanf:"shares"` // of the limits of the operators' policy; without a fleet this process shares none out
	Patience `koanf:",squash"`
}

// Node is a node that is looked at.
type Node struct {
	Name    string `koanf:"name"`
	Control string `koanf:"control"`
}

// Default is the configuration but for names and addresses.
func Default() Config {
	return Config{Listen: "127.0.0.1:8700", Every: 5 * time.Second, Repair: true, Patience: Patience{Settle: 15 * time.Second, Orphan: 5 * time.Minute}}
}

// Check says what is wrong with a configuration, by its keys.
func (c Config) Check() error {
	var f config.Faults
	bad, address := f.Want, f.Address
	bad(c.Process != "", "process: missing; it names this process, the same over its restarts")
	bad(len(c.List) > 0, "list: missing; it has the addresses of the list service")
	for _, a := range c.List {
		address("list", a)
	}
	address("listen", c.Listen)
	bad(c.Every >= 100*time.Millisecond, "every: %v is under 100ms", c.Every)
	bad(c.Settle > 0 && c.Orphan >= c.Settle, "settle and orphan: %v and %v, want the second not below the first", c.Settle, c.Orphan)
	for _, n := range c.Nodes {
		bad(n.Name != "", "node: one has no name")
		address("node "+n.Name+": control", n.Control)
	}
	c.Shares.check(&f)
	return f.Err()
}

const (
	lookTime   = 2 * time.Second // for one address to answer
	writeTime  = 10 * time.Second
	together   = 32 // addresses looked at at once
	patience   = 5 * time.Second
	dutyName   = "keeper"
	maxStats   = 1 << 20 // bytes of a node's figures
	metricName = "indigokeeper"
)

// Keeper is one process that may hold the keeper's duty.
type Keeper struct {
	c       Config
	log     *slog.Logger
	client  *client.Client
	http    *http.Client
	mu      sync.Mutex
	holds   bool
	looked  time.Time
	report  []Finding
	repairs int
}

// Report is what /report shows.
type Report struct {
	Process  string    `json:"process"`
	Holds    bool      `json:"holds"` // the duty; else another looks
	Looked   time.Time `json:"looked"`
	Findings []Finding `json:"findings"`
	Repairs  int       `json:"repairs"` // by this process
}

// Run looks whenever it holds the duty, until ctx ends.
func Run(ctx context.Context, c Config, log *slog.Logger) error {
	if err := c.Check(); err != nil {
		return err
	}
	k, err := client.New(client.Config{Addresses: c.List})
	if err != nil {
		return err
	}
	defer k.Close()
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	w := &Keeper{c: c, log: log, client: k, http: &http.Client{Timeout: lookTime, Transport: &http.Transport{DisableKeepAlives: true}}}
	srv := &http.Server{Handler: w.routes(), ReadHeaderTimeout: lookTime}
	go srv.Serve(ln) // until Close
	defer srv.Close()
	p, err := lease.Open(lease.Config{Client: k, Process: c.Process, Word: registry.Word{Address: ln.Addr().String(), Note: "keeper"}, Log: log})
	if err != nil {
		return err
	}
	log.Info("serving", "listen", ln.Addr().String(), "nodes", len(c.Nodes))
	all, ctx := errgroup.WithContext(ctx)
	all.Go(func() error { return p.Run(ctx, dutyName, w.work) })
	if c.Shares.Fleet != "" {
		all.Go(func() error { return c.Shares.run(ctx, c.Process, k, p, log) })
	}
	closed := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { closed <- p.Close(patience) }) // while the duties end: without the service they would not
	err = all.Wait()
	if errors.Is(err, context.Canceled) || errors.Is(err, lease.ErrClosed) {
		err = nil
	}
	if stop() {
		return errors.Join(err, p.Close(patience))
	}
	return errors.Join(err, <-closed)
}

func (w *Keeper) routes() http.Handler {
	registry := prometheus.NewRegistry()
	gauge := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metricName, Name: name, Help: help}, value))
	}
	gauge("holds", "1 if this process holds the keeper's duty", func() float64 {
		if w.Report().Holds {
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
func (w *Keeper) Report() Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Report{w.c.Process, w.holds, w.looked, w.report, w.repairs}
}

// work looks again and again, as the holder of the duty.
func (w *Keeper) work(ctx context.Context, f lease.Fence) error {
	w.hold(true)
	defer w.hold(false)
	core, start := NewCore(w.c.Patience), time.Now()
	for ctx.Err() == nil {
		look, err := w.look(ctx)
		if err != nil {
			w.log.Warn("no look at the list", "err", err) // it is not held against anybody
		} else {
			look.At = time.Since(start)
			findings, repairs := core.Judge(look)
			w.tell(findings)
			w.repair(ctx, f, repairs)
		}
		backoff.Sleep(ctx, w.c.Every)
	}
	return ctx.Err()
}

func (w *Keeper) hold(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holds, w.report = on, nil
}

func (w *Keeper) tell(findings []Finding) {
	w.mu.Lock()
	before := map[Finding]bool{}
	for _, f := range w.report {
		f.For = 0
		before[f] = true
	}
	w.report, w.looked = findings, time.Now()
	w.mu.Unlock()
	for _, f := range findings {
		if d := f.For; !before[Finding{What: f.What, Who: f.Who, Detail: f.Detail}] {
			w.log.Warn("it does not agree", "what", f.What, "who", f.Who, "detail", f.Detail, "for", d)
		}
	}
}

// repair takes orphans off the list, under the fence and as they were judged.
func (w *Keeper) repair(ctx context.Context, f lease.Fence, all []Repair) {
	if !w.c.Repair {
		return
	}
	for _, r := range all {
		call, cancel := context.WithTimeout(ctx, writeTime)
		_, err := w.client.As(f).Remove(call, r.Name, &r.Version)
		cancel()
		if err != nil {
			w.log.Warn("an orphan stays", "who", r.Name, "err", err)
			continue
		}
		w.log.Warn("an orphan is taken off the list", "who", r.Name, "why", r.Why)
		w.mu.Lock()
		w.repairs++
		w.mu.Unlock()
	}
}
