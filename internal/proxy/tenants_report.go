package proxy

import (
	"encoding/json"
	"io"
	"net/http"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/tenant"
)

// write writes the tenants' metrics to /stats.
func (t *tenantService) write(w io.Writer) {
	writeStats(w, []stat{
		gauge("app.tenants.number", int64(t.catalogueNumber.Load())),
		gauge("app.tenants.known", int64(t.tenantCount.Load())),
		counter("app.tenants.unsure", int64(t.unavailable.Load())),
		counter("app.tenants.declined", int64(t.forbidden.Load())),
		counter("app.tenants.unknown", int64(t.notFound.Load())),
	})
}

// serveTenants answers an operator with this proxy's view of its tenants, at most tenant.MaxTenants of them.
func (srv *Server) serveTenants(w http.ResponseWriter, _ *http.Request) {
	var r tenant.Report
	if !srv.do(func() { r = srv.tenants.cache.Report(srv.tenantClock()) }) {
		http.Error(w, "the node has ended", http.StatusServiceUnavailable)
		return
	}
	r.Tenants = r.Tenants[:min(len(r.Tenants), tenant.MaxTenants)]
	w.Header().Set("Content-Type", "application/json")
	besteffort.Encode(json.NewEncoder(w).Encode(r))
}
