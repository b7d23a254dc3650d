package server

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"wrenspread/internal/registry"
)

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", s.instances)
	mux.HandleFunc("PUT /registry/instances/{name}", s.write(registry.OpRegister))
	mux.HandleFunc("DELETE /registry/instances/{name}", s.write(registry.OpRemove))
	mux.HandleFunc("POST /registry/instances/{name}/drain", s.write(registry.OpDrain))
	mux.HandleFunc("POST /registry/renew", s.leading(maxBody, s.renew))
	mux.HandleFunc("GET /registry/members", s.members)
	mux.HandleFunc("PUT /registry/members/{name}", s.leading(maxBody, s.addMember))
	mux.HandleFunc("DELETE /registry/members/{name}", s.leading(maxBody, s.removeMember))
	mux.HandleFunc("GET /registry/items", s.leading(maxBody, s.items))
	mux.HandleFunc("GET /registry/backup", s.leading(maxBody, s.backup))
	mux.HandleFunc("POST /registry/restore", s.leading(maxRestore, s.restore))
	mux.HandleFunc("PUT /registry/sessions/{id}", s.leading(maxBody, s.openSession))
	mux.HandleFunc("DELETE /registry/sessions/{id}", s.leading(maxBody, s.closeSession))
	mux.HandleFunc("POST /registry/sessions/renew", s.leading(maxBody, s.renewSessions))
	mux.HandleFunc("POST /registry/sessions/{id}/campaign", s.wish(registry.OpCampaign))
	mux.HandleFunc("POST /registry/sessions/{id}/give-up", s.wish(registry.OpRelease))
	mux.HandleFunc("GET /registry/duties", s.readDuties)
	mux.HandleFunc("POST /registry/duties/{name}/yield", s.order(registry.OpTransfer))
	mux.HandleFunc("POST /registry/duties/{name}/block", s.order(registry.OpBlock))
	mux.HandleFunc("GET /registry/records", s.leading(maxBody, s.record))
	mux.HandleFunc("GET /registry/records/{key}", s.leading(maxBody, s.record))
	mux.HandleFunc("PUT /registry/records/{key}", s.leading(maxPut, s.putRecord))
	mux.HandleFunc("GET /registry/watch/records", s.watchRecords)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.figures.registry, promhttp.HandlerOpts{}))
	return mux
}

// ready says yes once this replica has a list and knows who leads.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	_, epoch := s.hub.has()
	if epoch == "" || s.replica.leader() == "" || !s.contact.caught.Load() {
		refuse(
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

// figures are what /metrics shows.
type figures struct{ registry *prometheus.Registry }

func newFigures(s *Server) *figures {
	f := &figures{prometheus.NewRegistry()}
	gauge := func(name, help string, value func() float64) {
		f.registry.MustRegister(
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "indigolist", Name: name, Help: help}, value),
		)
	}
	gauge("entries", "entries in the list", func() float64 {
		s.machine.mu.RLock()
		defer s.machine.mu.RUnlock()
		return float64(s.machine.state.Len())
	})
	gauge("version", "version of the list", func() float64 { v, _ := s.hub.has(); return float64(v) })
	gauge("watchers", "calls that are held", func() float64 { return float64(s.hub.watchers()) })
	gauge(
		"parts",
		"parts of the list that are watched or kept encoded",
		func() float64 { return float64(s.hub.partsKnown()) },
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
		func() float64 { kept, _ := s.expiry.figures(); return float64(kept) },
	)
	f.registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "indigolist",
			Name:      "expired_total",
			Help:      "entries expired by this replica",
		}, func() float64 { _, n := s.expiry.figures(); return float64(n) }),
	)
	f.registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "indigolist", Name: "lapsed_total",
			Help: "sessions that lapsed at this replica"}, func() float64 { return float64(s.sessions.figures()) }),
	)
	return f
}
