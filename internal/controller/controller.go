// Package controller runs the jobs that only one process at a time may do for a fleet: a process runs a job
// while it holds the job's lease. One job compares the registry with the answers of endpoints and proxies.
// The other allocates the limits of the operators' policy to proxies (Quotas).
//
// The comparison removes orphaned endpoints from the registry, under its fencing token and only at the
// version that was checked. It reports all other findings.
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
	"wrenspread/internal/besteffort"
	"wrenspread/internal/lease"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

const (
	callTimeout       = 2 * time.Second  // for one call to an endpoint or a proxy
	registryTimeout   = 10 * time.Second // for one call to the registry
	closeTimeout      = 5 * time.Second  // for closing the lease session
	maxParallelChecks = 32               // endpoints and proxies that are checked at a time
	maxStatsBytes     = 1 << 20          // bytes that are read of a proxy's statistics
	leaseName         = "keeper"         // name of the comparison's lease in the registry
	metricNamespace   = "indigokeeper"   // prefix of the metrics, used by dashboards
)

// Controller is one controller process, which may hold the lease of the comparison.
type Controller struct {
	config Config
	log    *slog.Logger
	client *client.Client
	http   *http.Client

	mu        sync.Mutex // guards the fields below
	holding   bool
	checkedAt time.Time
	findings  []Finding
	repairs   int
}

// Report is the response of /report.
type Report struct {
	Process   string    `json:"process"`
	Holding   bool      `json:"holds"` // this process holds the lease of the comparison
	CheckedAt time.Time `json:"looked"`
	Findings  []Finding `json:"findings"`
	Repairs   int       `json:"repairs"` // endpoints that this process has removed
}

// Run runs the jobs whose leases this process holds, until ctx ends.
func Run(ctx context.Context, config Config, log *slog.Logger) error {
	if err := config.Check(); err != nil {
		return err
	}
	registryClient, err := client.New(client.Config{Addresses: config.Registry})
	if err != nil {
		return err
	}
	defer registryClient.Close()
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	controller := &Controller{config: config, log: log, client: registryClient, http: newHTTPClient()}
	defer controller.serve(listener)()
	info := registry.ProcessInfo{Address: listener.Addr().String(), Note: leaseName}
	session, err := lease.Open(
		lease.Config{Client: registryClient, Process: config.Process, Info: info, Log: log},
	)
	if err != nil {
		return err
	}
	log.Info("controller started", "listen", listener.Addr().String(), "proxies", len(config.Proxies))
	return controller.runJobs(ctx, session)
}

// newHTTPClient returns the client for proxies' control addresses.
func newHTTPClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// serve serves HTTP at listener until stop is called.
func (c *Controller) serve(listener net.Listener) (stop func()) {
	server := &http.Server{Handler: c.routes(), ReadHeaderTimeout: callTimeout}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			c.log.Error("serving reports failed", "err", err)
		}
	}()
	return func() { besteffort.Close(server) }
}

// runJobs runs the jobs until ctx ends, and closes the session. It closes the session before the jobs have
// ended, because while the registry does not answer, the jobs end only once the session is closed.
func (c *Controller) runJobs(ctx context.Context, session *lease.Session) error {
	jobs, ctx := errgroup.WithContext(ctx)
	jobs.Go(func() error { return session.Run(ctx, leaseName, c.checkRepeatedly) })
	if c.config.Quotas.Fleet != "" {
		jobs.Go(func() error { return c.config.Quotas.run(ctx, c.config.Process, c.client, session, c.log) })
	}
	closed := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { closed <- session.Close(closeTimeout) })
	err := jobs.Wait()
	if errors.Is(err, context.Canceled) || errors.Is(err, lease.ErrClosed) {
		err = nil
	}
	if stop() {
		return errors.Join(err, session.Close(closeTimeout))
	}
	return errors.Join(err, <-closed)
}

// routes returns the handler of the controller's HTTP interface.
func (c *Controller) routes() http.Handler {
	metrics := prometheus.NewRegistry()
	gauge := func(name, help string, value func() float64) {
		options := prometheus.GaugeOpts{Namespace: metricNamespace, Name: name, Help: help}
		metrics.MustRegister(prometheus.NewGaugeFunc(options, value))
	}
	gauge("holds", "1 if this process holds the keeper's duty", func() float64 {
		if c.Report().Holding {
			return 1
		}
		return 0
	})
	gauge("findings", "what does not agree", func() float64 { return float64(len(c.Report().Findings)) })
	repairs := prometheus.CounterOpts{
		Namespace: metricNamespace,
		Name:      "repairs_total",
		Help:      "orphans taken off the list by this process",
	}
	metrics.MustRegister(
		prometheus.NewCounterFunc(repairs, func() float64 { return float64(c.Report().Repairs) }),
	)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("GET /metrics", promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		besteffort.Encode(json.NewEncoder(w).Encode(c.Report()))
	})
	return mux
}

// Report returns the findings of the last comparison.
func (c *Controller) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Report{c.config.Process, c.holding, c.checkedAt, c.findings, c.repairs}
}

// checkRepeatedly runs the comparison at intervals while this process holds the lease. It ends with ctx.
func (c *Controller) checkRepeatedly(ctx context.Context, token lease.Token) error {
	c.setHolding(true)
	defer c.setHolding(false)
	checker, start := NewChecker(c.config.Thresholds), time.Now()
	for ctx.Err() == nil {
		observed, err := c.observe(ctx)
		if err != nil { // a failed read is no observation, so no finding follows from it
			c.log.Warn("reading the registry failed", "err", err)
		} else {
			observed.At = time.Since(start)
			findings, repairs := checker.Check(observed)
			c.recordFindings(findings)
			c.removeOrphans(ctx, token, repairs)
		}
		backoff.Sleep(ctx, c.config.Interval)
	}
	return ctx.Err()
}

// setHolding records whether this process holds the lease, and clears the findings.
func (c *Controller) setHolding(holding bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holding = holding
	c.findings = nil
}

// recordFindings stores the findings for reports, and logs each finding that the previous comparison did not
// have.
func (c *Controller) recordFindings(findings []Finding) {
	c.mu.Lock()
	known := map[findingKey]bool{}
	for _, finding := range c.findings {
		known[finding.key()] = true
	}
	c.findings = findings
	c.checkedAt = time.Now()
	c.mu.Unlock()
	for _, finding := range findings {
		if !known[finding.key()] {
			c.log.Warn("inconsistency found", "kind", finding.Kind, "subject", finding.Subject,
				"detail", finding.Detail, "lasting", finding.Lasting)
		}
	}
}

func (f Finding) key() findingKey { return findingKey{f.Kind, f.Subject, f.Detail} }

// removeOrphans removes orphaned endpoints under the fencing token, each only at the version that was
// checked. It does nothing if Config.Repair is false.
func (c *Controller) removeOrphans(ctx context.Context, token lease.Token, repairs []Repair) {
	if !c.config.Repair {
		return
	}
	for _, repair := range repairs {
		call, cancel := context.WithTimeout(ctx, registryTimeout)
		_, err := c.client.WithToken(token).Remove(call, repair.Name, &repair.Version)
		cancel()
		if err != nil {
			c.log.Warn("removing an orphaned endpoint failed", "endpoint", repair.Name, "err", err)
			continue
		}
		c.log.Warn("orphaned endpoint removed", "endpoint", repair.Name, "reason", repair.Reason)
		c.mu.Lock()
		c.repairs++
		c.mu.Unlock()
	}
}
