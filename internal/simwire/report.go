package simwire

import (
	"encoding/json"
	"strconv"
	"time"

	"wrenspread/balancer"
)

// decodeReport decodes a load report. It ignores unknown fields and returns nil for a report without a known
// field.
func decodeReport(values map[string]json.RawMessage) *balancer.LoadReport {
	var r balancer.LoadReport
	hasKnownField := false
	for name, raw := range values {
		v, err := strconv.ParseFloat(string(raw), 64)
		hasKnownField = err == nil && SetReportField(&r, name, v) || hasKnownField
	}
	if !hasKnownField {
		return nil
	}
	return &r
}

// SetReportField sets the field of a load report that has the given name on the wire. Each field has two
// names: one that the simulator uses, and one that servers use in their responses. SetReportField returns
// false if the name is unknown.
func SetReportField(r *balancer.LoadReport, name string, v float64) bool {
	switch name {
	case "active", "inflight":
		r.InFlight, r.HasInFlight = v, true
	case "waiting", "queue":
		r.QueueLength, r.HasQueueLength = v, true
	case "cpu", "util":
		r.Utilization = v
	case "avg_ms", "latency_ms":
		r.ServiceTime = time.Duration(v * float64(time.Millisecond))
	case "rps", "qps":
		r.RequestRate = v
	case "err_rps", "eps":
		r.ErrorRate = v
	default:
		return false
	}
	return true
}
