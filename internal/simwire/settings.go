package simwire

import (
	"encoding/json"
	"fmt"
	"time"

	"wrenspread/balancer"
)

// idempotencies are the values of a class's effect.
var idempotencies = map[string]balancer.Idempotency{
	"retryable": balancer.Idempotent,
	"dedup":     balancer.IdempotentByKey,
	"fragile":   balancer.NotIdempotent,
}

// dedupScopes are the values of a class's key_scope.
var dedupScopes = map[string]balancer.DedupScope{
	"cell": balancer.DedupInCell,
	"zone": balancer.DedupInZone,
	"all":  balancer.DedupEverywhere,
}

// loadReportSources are the values of report.how.
var loadReportSources = map[string]balancer.LoadReportSource{
	"none":    balancer.LoadReportsNone,
	"probe":   balancer.LoadReportsByQuery,
	"answers": balancer.LoadReportsInResponses,
}

// The meanings of the values of weight_kind. If the key is absent, weights do not describe capacity.
const (
	weightNone = iota
	weightExact
	weightApproximate
	weightDynamic
)

// weightKinds are the values of weight_kind.
var weightKinds = map[string]int{
	"none":    weightNone,
	"nominal": weightExact,
	"rough":   weightApproximate,
	"live":    weightDynamic,
}

// hasKey reports whether a map has a key.
func hasKey[V any](m map[string]V, key string) bool {
	_, ok := m[key]
	return ok
}

// DecodeSettings decodes the settings of an instance, which have the same form in the simulator and in a
// proxy's configuration. It returns the first error.
func DecodeSettings(raw json.RawMessage) (balancer.Settings, error) {
	s, problems := ReadSettings(raw)
	if len(problems) > 0 {
		return balancer.Settings{}, problems[0]
	}
	return s, nil
}

// ReadSettings decodes settings like DecodeSettings, but returns all errors. If several values have a wrong
// type, it returns the error of the first one only.
func ReadSettings(raw json.RawMessage) (s balancer.Settings, problems []error) {
	var form *SettingsForm
	if err := json.Unmarshal(raw, &form); err != nil {
		problems = append(problems, err)
	}
	if form == nil {
		return s, append(problems, missing("settings"))
	}
	problems = append(problems, form.checkChoices()...)
	s = form.settings()
	for _, c := range form.Classes {
		class, classProblems := c.class()
		s.Classes = append(s.Classes, class)
		problems = append(problems, classProblems...)
	}
	for _, t := range form.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, Quota: t.Quota, QuotaShare: t.Fraction})
	}
	return s, problems
}

// checkChoices checks the keys that have only a few valid values. Each key may be absent.
func (p *SettingsForm) checkChoices() (problems []error) {
	for _, c := range []struct {
		key, value string
		known      bool
	}{
		{"membership_mode", p.EndpointUpdates, p.EndpointUpdates == "pushed" || p.EndpointUpdates == "on_request"},
		{"report.how", p.LoadReport.Source, hasKey(loadReportSources, p.LoadReport.Source)},
		{"weight_kind", p.WeightKind, hasKey(weightKinds, p.WeightKind)},
		{"worth_by", p.WeightBy, p.WeightBy == "request" || p.WeightBy == "work"},
	} {
		if c.value != "" && !c.known {
			problems = append(problems, fmt.Errorf("unknown %s %q", c.key, c.value))
		}
	}
	return problems
}

// settings returns the settings without their classes and tenants.
func (p *SettingsForm) settings() balancer.Settings {
	return balancer.Settings{
		Proxies:               p.Proxies,
		ProxyIndex:            p.ProxyIndex,
		Zone:                  p.Zone,
		Zones:                 p.Zones,
		MachineTypes:          p.MachineTypes,
		MaxAttempts:           p.Capabilities.MaxAttempts,
		AllowHedging:          p.Capabilities.Hedging,
		AllowCancel:           p.Capabilities.Cancel,
		AllowLoadQueries:      p.Capabilities.LoadQueries,
		AllowGossip:           p.Capabilities.Gossip,
		SendRetryAfter:        p.Capabilities.RetryAfter,
		MaxRetryAfter:         time.Duration(p.Capabilities.MaxRetryAfter),
		ClientsMarkRetries:    p.ClientBehavior.MarksRetry,
		ConnectTimeout:        time.Duration(p.Capabilities.ConnectTimeout),
		MinEventInterval:      time.Duration(p.MinEventInterval),
		PollForEndpoints:      p.EndpointUpdates == "on_request",
		WeightKnown:           weightKinds[p.WeightKind] != weightNone,
		WeightApproximate:     weightKinds[p.WeightKind] == weightApproximate,
		WeightDynamic:         weightKinds[p.WeightKind] == weightDynamic,
		OverQuotaWeight:       p.OverQuotaWeight,
		WeightByWork:          p.WeightBy == "work",
		LoadReports:           loadReportSources[p.LoadReport.Source],
		LoadReportFields:      p.LoadReport.Fields,
		ResponseSlack:         time.Duration(p.Invariants.ResponseSlack),
		PollInterval:          time.Duration(p.Invariants.PollInterval),
		DrainGrace:            time.Duration(p.Invariants.DrainGrace),
		DrainClose:            time.Duration(p.Invariants.DrainClose),
		SlowStartInitial:      p.Invariants.SlowStartInitial,
		SlowStartDuration:     time.Duration(p.Invariants.SlowStartDuration),
		OverloadFactor:        p.Invariants.OverloadFactor,
		OverloadDuration:      time.Duration(p.Invariants.OverloadDuration),
		Family:                p.Family,
		Tier:                  p.Tier,
		Tiers:                 p.Tiers,
		KeyAffinity:           p.ServiceTraits.KeyAffinity,
		ForwardsDeadline:      p.ServiceTraits.ForwardsDeadline,
		AttemptsPerConnection: p.Capabilities.AttemptsPerConnection,
		ConnectionIdleTimeout: time.Duration(p.Capabilities.ConnectionIdleTimeout),
		MaxOpenRequests:       p.Capabilities.MaxOpenRequests,
		CPUPerSecond:          time.Duration(p.Capabilities.CPUPerSecond * float64(time.Microsecond)),
		CPUPerRequest:         time.Duration(p.Capabilities.CPUPerRequest * float64(time.Microsecond)),
		ScoreWeights:          p.scoreWeights(),
		Prices:                p.prices(),
	}
}

func (p *SettingsForm) scoreWeights() balancer.ScoreWeights {
	return balancer.ScoreWeights{
		WholeDay:    p.ScoreWeights.WholeDay,
		WorstWindow: p.ScoreWeights.WorstWindow,
		WorstClass:  p.ScoreWeights.WorstClass,
		WorstTenant: p.ScoreWeights.WorstTenant,
	}
}

func (p *SettingsForm) prices() balancer.Prices {
	return balancer.Prices{
		Connection:      p.Prices.Connection,
		Handshake:       p.Prices.Handshake,
		CrossZone:       p.Prices.CrossZone,
		WastedWork:      p.Prices.WastedWork,
		LateFailure:     p.Prices.LateFailure,
		LoadQuery:       p.Prices.LoadQuery,
		Message:         p.Prices.Message,
		Migrations:      p.Prices.Migrations,
		OriginRead:      p.Prices.OriginRead,
		EndpointUpdates: p.Prices.EndpointUpdates,
		Fleet:           p.Prices.Fleet,
	}
}

// class converts a class of requests. For each unknown value it returns an error, and leaves the setting
// zero.
func (c classForm) class() (class balancer.Class, problems []error) {
	idempotency, ok := idempotencies[c.Idempotency]
	if !ok {
		problems = append(problems, fmt.Errorf("class %s: unknown effect %q", c.Name, c.Idempotency))
	}
	scope, ok := dedupScopes[c.DedupScope]
	if !ok && (c.DedupScope != "" || idempotency == balancer.IdempotentByKey) {
		problems = append(problems, fmt.Errorf("class %s: unknown key_scope %q", c.Name, c.DedupScope))
	}
	class = balancer.Class{
		Name:                c.Name,
		PriorityWeight:      c.PriorityWeight,
		LatencyObjective:    time.Duration(c.LatencyObjective),
		ObjectivePerWork:    c.ObjectivePerWork,
		Deadline:            time.Duration(c.Deadline),
		LateWeight:          c.LateWeight,
		Idempotency:         idempotency,
		DedupScope:          scope,
		DedupWindow:         time.Duration(c.DedupWindow),
		Streamed:            c.Streamed,
		AllowedZones:        c.AllowedZones,
		AllowedMachineTypes: c.AllowedMachineTypes,
	}
	return class, problems
}
