package simwire

import (
	"encoding/json"
	"fmt"
	"time"

	"wrenspread/balancer"
)

var idempotencies = map[string]balancer.Idempotency{
	"retryable": balancer.Idempotent,
	"dedup":     balancer.IdempotentByKey,
	"fragile":   balancer.NotIdempotent,
}

var scopes = map[string]balancer.DedupScope{
	"cell": balancer.DedupInCell,
	"zone": balancer.DedupInZone,
	"all":  balancer.DedupEverywhere,
}

var loadReportSources = map[string]balancer.LoadReportSource{
	"none":    balancer.LoadReportsNone,
	"probe":   balancer.LoadReportsByQuery,
	"answers": balancer.LoadReportsInResponses,
}

// The values of weight_kind; a site that states none has no sizes.
const (
	weightNone = iota
	weightExact
	weightApproximate
	weightDynamic
)

var weightKinds = map[string]int{
	"none":    weightNone,
	"nominal": weightExact,
	"rough":   weightApproximate,
	"live":    weightDynamic,
}

func has[V any](m map[string]V, key string) bool {
	_, ok := m[key]
	return ok
}

// DecodeSettings reads the settings of an instance. The simulator and a proxy's configuration give them in
// the same form. The error is the first fault.
func DecodeSettings(raw json.RawMessage) (balancer.Settings, error) {
	s, problems := ReadSettings(raw)
	if len(problems) > 0 {
		return balancer.Settings{}, problems[0]
	}
	return s, nil
}

// ReadSettings is DecodeSettings, but returns all faults; of values of a wrong type, the first.
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

// checkChoices validates the keys that take one of a few words; each may be absent.
func (p *SettingsForm) checkChoices() (problems []error) {
	for _, c := range []struct {
		key, value string
		known      bool
	}{
		{"membership_mode", p.Membership, p.Membership == "pushed" || p.Membership == "on_request"},
		{"report.how", p.Report.How, has(loadReportSources, p.Report.How)},
		{"weight_kind", p.WeightKind, has(weightKinds, p.WeightKind)},
		{"worth_by", p.WorthBy, p.WorthBy == "request" || p.WorthBy == "work"},
	} {
		if c.value != "" && !c.known {
			problems = append(problems, fmt.Errorf("unknown %s %q", c.key, c.value))
		}
	}
	return problems
}

// settings returns the settings without classes and tenants.
func (p *SettingsForm) settings() balancer.Settings {
	return balancer.Settings{
		Proxies:               p.Balancers,
		ProxyIndex:            p.ProxyIndex,
		Zone:                  p.Zone,
		Zones:                 p.Zones,
		MachineTypes:          p.Kinds,
		MaxAttempts:           p.Capabilities.MaxAttempts,
		AllowHedging:          p.Capabilities.MayDuplicate,
		AllowCancel:           p.Capabilities.Cancel,
		AllowLoadQueries:      p.Capabilities.Probes,
		AllowGossip:           p.Capabilities.Peers,
		SendRetryAfter:        p.Capabilities.RetryAfter,
		MaxRetryAfter:         time.Duration(p.Capabilities.MaxRetryAfter),
		ClientsMarkRetries:    p.ClientBehavior.MarksRetry,
		ConnectTimeout:        time.Duration(p.Capabilities.ConnectTimeout),
		MinEventInterval:      time.Duration(p.Tick),
		PollForEndpoints:      p.Membership == "on_request",
		WeightKnown:           weightKinds[p.WeightKind] != weightNone,
		WeightApproximate:     weightKinds[p.WeightKind] == weightApproximate,
		WeightDynamic:         weightKinds[p.WeightKind] == weightDynamic,
		OverQuotaWeight:       p.OverQuotaWeight,
		WeightByWork:          p.WorthBy == "work",
		LoadReports:           loadReportSources[p.Report.How],
		LoadReportFields:      p.Report.Fields,
		ResponseSlack:         time.Duration(p.Invariants.AnswerSlack),
		PollInterval:          time.Duration(p.Invariants.AskWithin),
		DrainGrace:            time.Duration(p.Invariants.DrainGrace),
		DrainClose:            time.Duration(p.Invariants.DrainClose),
		SlowStartInitial:      p.Invariants.ColdFrom,
		SlowStartDuration:     time.Duration(p.Invariants.Cold),
		OverloadFactor:        p.Invariants.OverloadFactor,
		OverloadDuration:      time.Duration(p.Invariants.TipAfter),
		Family:                p.Family,
		Tier:                  p.Tier,
		Tiers:                 p.Tiers,
		KeyAffinity:           p.Specifics.WarmKeys,
		ForwardsDeadline:      p.Specifics.PassesDeadline,
		AttemptsPerConnection: p.Capabilities.Multiplex,
		ConnectionIdleTimeout: time.Duration(p.Capabilities.ConnIdle),
		MaxOpenRequests:       p.Capabilities.MostHeld,
		CPUPerSecond:          time.Duration(p.Capabilities.CPUPerSecond * float64(time.Microsecond)),
		CPUPerRequest:         time.Duration(p.Capabilities.CPUPerRequest * float64(time.Microsecond)),
		Goal:                  p.goal(),
		Prices:                p.prices(),
	}
}

func (p *SettingsForm) goal() balancer.Goal {
	return balancer.Goal{
		WholeDay:    p.Goal.Whole,
		WorstWindow: p.Goal.WorstWindow,
		WorstClass:  p.Goal.WorstClass,
		WorstTenant: p.Goal.WorstTenant,
	}
}

func (p *SettingsForm) prices() balancer.Prices {
	return balancer.Prices{
		Connection:      p.Prices.Connection,
		Handshake:       p.Prices.Handshake,
		CrossZone:       p.Prices.CrossZone,
		WastedWork:      p.Prices.Waste,
		LateFailure:     p.Prices.LateFail,
		LoadQuery:       p.Prices.Probe,
		Message:         p.Prices.Peer,
		Migrations:      p.Prices.Moves,
		OriginRead:      p.Prices.Origin,
		EndpointUpdates: p.Prices.Lines,
		Fleet:           p.Prices.Fleet,
	}
}

// class translates a class of requests. An unknown value is an error, and its field then has the zero value.
func (c classForm) class() (class balancer.Class, problems []error) {
	idempotency, ok := idempotencies[c.Effect]
	if !ok {
		problems = append(problems, fmt.Errorf("class %s: unknown effect %q", c.Name, c.Effect))
	}
	scope, ok := scopes[c.KeyScope]
	if !ok && (c.KeyScope != "" || idempotency == balancer.IdempotentByKey) {
		problems = append(problems, fmt.Errorf("class %s: unknown key_scope %q", c.Name, c.KeyScope))
	}
	class = balancer.Class{
		Name:                c.Name,
		PriorityWeight:      c.Importance,
		LatencyObjective:    time.Duration(c.Aim),
		ObjectivePerWork:    c.AimStretch,
		Deadline:            time.Duration(c.GiveUp),
		LateWeight:          c.LateWorth,
		Idempotency:         idempotency,
		DedupScope:          scope,
		DedupWindow:         time.Duration(c.Dedup),
		Streamed:            c.Streamed,
		AllowedZones:        c.Domains,
		AllowedMachineTypes: c.AllowedOn,
	}
	return class, problems
}
