package proxy

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/tenant"
)

// write gives the figures of tenants as lines of text.
func (t *tenantService) write(w io.Writer) {
	besteffort.Output(
		fmt.Fprintf(
			w,
			"app.tenants.number:%d|g\napp.tenants.known:%d|g\napp.tenants.unsure:%d|c\napp.tenants.declined:%d|c\napp.tenants.unknown:%d|c\n",
			t.number.Load(),
			t.tenantCount.Load(),
			t.unavailable.Load(),
			t.forbidden.Load(),
			t.notFound.Load(),
		),
	)
}

// serveTenants tells an operator what this proxy knows of tenants, MaxTenants at most.
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
