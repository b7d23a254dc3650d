package server

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"wrenspread/internal/registry"
)

// routes returns the handler of the HTTP API.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", s.readList)
	mux.HandleFunc("PUT /registry/instances/{name}", s.writeEntry(registry.OpRegister))
	mux.HandleFunc("DELETE /registry/instances/{name}", s.writeEntry(registry.OpRemove))
	mux.HandleFunc("POST /registry/instances/{name}/drain", s.writeEntry(registry.OpDrain))
	mux.HandleFunc("POST /registry/renew", s.leaderOnly(maxBodyBytes, s.renewEntries))
	mux.HandleFunc("GET /registry/members", s.listReplicas)
	mux.HandleFunc("PUT /registry/members/{name}", s.leaderOnly(maxBodyBytes, s.addReplica))
	mux.HandleFunc("DELETE /registry/members/{name}", s.leaderOnly(maxBodyBytes, s.removeReplica))
	mux.HandleFunc("GET /registry/items", s.leaderOnly(maxBodyBytes, s.readRegistrations))
	mux.HandleFunc("GET /registry/backup", s.leaderOnly(maxBodyBytes, s.backup))
	mux.HandleFunc("POST /registry/restore", s.leaderOnly(maxRestoreBytes, s.restore))
	mux.HandleFunc("PUT /registry/sessions/{id}", s.leaderOnly(maxBodyBytes, s.openSession))
	mux.HandleFunc("DELETE /registry/sessions/{id}", s.leaderOnly(maxBodyBytes, s.closeSession))
	mux.HandleFunc("POST /registry/sessions/renew", s.leaderOnly(maxBodyBytes, s.renewSessions))
	mux.HandleFunc("POST /registry/sessions/{id}/campaign", s.candidacy(registry.OpCampaign))
	mux.HandleFunc("POST /registry/sessions/{id}/give-up", s.candidacy(registry.OpRelease))
	mux.HandleFunc("GET /registry/duties", s.readLeases)
	mux.HandleFunc("POST /registry/duties/{name}/yield", s.changeLease(registry.OpTransfer))
	mux.HandleFunc("POST /registry/duties/{name}/block", s.changeLease(registry.OpBlock))
	mux.HandleFunc("GET /registry/records", s.leaderOnly(maxBodyBytes, s.readRecords))
	mux.HandleFunc("GET /registry/records/{key}", s.leaderOnly(maxBodyBytes, s.readRecords))
	mux.HandleFunc("PUT /registry/records/{key}", s.leaderOnly(maxPutBytes, s.putRecord))
	mux.HandleFunc("GET /registry/watch/records", s.watchRecords)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	return mux
}

// ready answers 200 once this replica has a list, has replayed its log and knows a leader.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	_, epoch := s.listHub.current()
	if epoch == "" || s.replica.leader() == "" || !s.contact.caughtUp.Load() {
		writeError(
			w,
			http.StatusServiceUnavailable,
			"not-ready",
			"no list yet, no leader is known, or the log is being replayed",
			time.Second,
		)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// metrics holds the metrics that /metrics returns.
type metrics struct{ registry *prometheus.Registry }

// newMetrics registers the metrics of a server.
func newMetrics(s *Server) *metrics {
	m := &metrics{prometheus.NewRegistry()}
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "indigolist", Name: name, Help: help}, value),
		)
	}
	gauge("entries", "entries in the list", func() float64 {
		s.machine.mu.RLock()
		defer s.machine.mu.RUnlock()
		return float64(s.machine.state.Len())
	})
	gauge("version", "version of the list", func() float64 { v, _ := s.listHub.current(); return float64(v) })
	gauge("watchers", "calls that are held", func() float64 { return float64(s.listHub.watchers()) })
	gauge(
		"parts",
		"parts of the list that are watched or kept encoded",
		func() float64 { return float64(s.listHub.subsetCount()) },
	)
	gauge("leads", "1 if this replica leads", func() float64 {
		if s.replica.leads() {
			return 1
		}
		return 0
	})
	gauge(
		"overdue_kept",
		"overdue entries that are held back, as too many are",
		func() float64 { retained, _ := s.expiry.counts(); return float64(retained) },
	)
	m.registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "indigolist",
			Name:      "expired_total",
			Help:      "entries expired by this replica",
		}, func() float64 { _, n := s.expiry.counts(); return float64(n) }),
	)
	m.registry.MustRegister(
		prometheus.NewCounterFunc(
			prometheus.CounterOpts{
				Namespace: "indigolist",
				Name:      "lapsed_total",
				Help:      "sessions that lapsed at this replica",
			},
			func() float64 { return float64(s.sessions.expiredCount()) },
		),
	)
	return m
}
