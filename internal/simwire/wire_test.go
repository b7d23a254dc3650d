package simwire

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"wrenspread/balancer"
)

const startEvent = `{"up":{"seed":9007199254740993,"profile_data":{"accounts":[{"name":"a","quota_per_s":5,"fraction":0.5}],
"balancers":3,"caps":{"cancel":true,"connect_timeout_ns":250000000,"cpu_us_per_s":15000,"cpu_us_per_request":2.5,"most_held":9,"multiplex":100,"conn_idle_ns":5,"max_attempts":4,"may_duplicate":true,"peers":true,
"probes":true,"retry_after":true,"max_retry_after_ns":2000000000},"classes":[{"aim_ns":600000000,"dedup_window_ns":8,
"effect":"dedup","give_up_ns":1200000000,"importance":12.0,"key_scope":"cell","late_worth":0.5,"name":"x","streamed":true}],
"failure_domains":["n"],"membership_mode":"on_request","report":{"fields":["active"],"how":"answers"},"slot_no":2,
"invariants":{"answer_slack_ns":20000000,"ask_within_ns":10000000000,"cold_from":0.32,"cold_ns":8300000000,
"drain_grace_ns":500000000,"overload_factor":2.5,"tip_after_ns":1000000000},"tick_ns":5000000,"weight_kind":"live",
"charges":{"cross_zone":0.02,"membership_mode":0.5},"goal":{"whole":0.6,"worst_window":0.4},"family":"proxy","tiers":["a","b"],
"tier":1,"specifics":{"warm_keys":true},"zone":"n","key_of_tomorrow":[1]}}}`

func batchLine(events string) string {
	return `{"sim_time_ns":1,"groups":[{"node_id":3,"happened":[` + events + `]}]}`
}

func decodeOne(t *testing.T, event string) InstanceEvent {
	t.Helper()
	b, err := DecodeBatch([]byte(batchLine(event)))
	if err != nil {
		t.Fatal(err)
	}
	return b.Groups[0].Events[0]
}

func TestStartEventDecodesSettings(t *testing.T) {
	event := decodeOne(t, strings.ReplaceAll(startEvent, "\n", ""))
	s := event.Start.Settings
	if event.Start.Seed != 9007199254740993 || s.Proxies != 3 || s.ProxyIndex != 2 || !s.PollForEndpoints || !s.WeightDynamic || !s.AllowHedging ||
		s.LoadReports != balancer.LoadReportsInResponses || s.DrainGrace != 500*time.Millisecond || s.OverloadFactor != 2.5 {
		t.Errorf("the start event is decoded as %+v", event.Start)
	}
	if s.CPUPerSecond != 15*time.Millisecond || s.CPUPerRequest != 2500*time.Nanosecond || s.MaxOpenRequests != 9 || s.ConnectionIdleTimeout != 5 ||
		s.AttemptsPerConnection != 100 || s.Prices != (balancer.Prices{CrossZone: 0.02, EndpointUpdates: 0.5}) || s.Tier != 1 || len(s.Tiers) != 2 ||
		s.ScoreWeights != (balancer.ScoreWeights{WholeDay: 0.6, WorstWindow: 0.4}) || s.Family != "proxy" || !s.KeyAffinity || s.ForwardsDeadline {
		t.Errorf("the settings are decoded as %+v", s)
	}
	c := s.Classes[0]
	if c.Idempotency != balancer.IdempotentByKey || c.DedupScope != balancer.DedupInCell || c.PriorityWeight != 12 || !c.Streamed || c.Deadline != 1200*time.Millisecond {
		t.Errorf("the class is decoded as %+v", c)
	}
}

// TestAbsentPlacementAndDrainCloseMeanNoRule: if drain_close_ns or a list of allowed zones or machine types
// is absent or null, there is no such rule. An empty list allows nothing.
func TestAbsentPlacementAndDrainCloseMeanNoRule(t *testing.T) {
	class := func(extra string) balancer.Settings {
		return decodeOne(t, `{"up":{"seed":1,"profile_data":{"invariants":{"drain_close_ns":500000000},"weight_kind":"rough","classes":[
			{"name":"x","effect":"retryable"`+extra+`}]}}}`).Start.Settings
	}
	if s := class(""); s.DrainClose != 500*time.Millisecond || !s.WeightKnown || !s.WeightApproximate || s.WeightDynamic ||
		s.Classes[0].AllowedZones != nil || s.Classes[0].AllowedMachineTypes != nil {
		t.Errorf("the settings are decoded as %+v", s)
	}
	c := class(`,"failure_domains_open":["a","b"],"allowed_on":[]`).Classes[0]
	if len(c.AllowedZones) != 2 || c.AllowedZones[1] != "b" || c.AllowedMachineTypes == nil || len(c.AllowedMachineTypes) != 0 {
		t.Errorf("the class is decoded as %+v", c)
	}
	if c := class(`,"failure_domains_open":null,"allowed_on":["k"]`).Classes[0]; c.AllowedZones != nil || len(c.AllowedMachineTypes) != 1 {
		t.Errorf("the class is decoded as %+v", c)
	}
	if s := decodeOne(t, `{"up":{"seed":1,"profile_data":{}}}`).Start.Settings; s.DrainClose != 0 || s.WeightKnown || s.PollForEndpoints {
		t.Errorf("the settings are decoded as %+v", s)
	}
}

func TestOutcomeCodesAreDecoded(t *testing.T) {
	for code, want := range map[string]balancer.Outcome{"0": balancer.OK, "13": balancer.ServerError, "8": balancer.Rejected,
		"4": balancer.TimedOut, "14": balancer.ConnectFailed, "10": balancer.ConnectionReset, "1": balancer.Cancelled, "9": balancer.NotSent} {
		event := decodeOne(t, `{"attempt_end":{"req":"q","leg":1,"backend":7,"delay_seen_ns":5,"disposition":`+code+`,
			"feedback":{"active":7,"unheard_of":3,"waiting":2}}}`)
		e := event.Event.(balancer.AttemptEnded)
		if e.Outcome != want || e.Attempt != 1 || e.Endpoint != 7 || e.RequestAnswered || e.LoadReport.InFlight != 7 || e.LoadReport.QueueLength != 2 {
			t.Errorf("code %s: %+v", code, e)
		}
	}
}

func TestReportWithoutKnownFieldIsNil(t *testing.T) {
	event := decodeOne(t, `{"attempt_end":{"req":"q","leg":0,"backend":7,"disposition":0,"feedback":{"unheard_of":"x"}}}`)
	if e := event.Event.(balancer.AttemptEnded); e.LoadReport != nil {
		t.Errorf("the load report is decoded as %+v, want none", e.LoadReport)
	}
}

func TestEmptyBatchGetsEmptyReply(t *testing.T) {
	b, err := DecodeBatch([]byte(`{"sim_time_ns":8412250000,"groups":[]}`))
	if err != nil || len(b.Groups) != 0 || string(AppendReply(nil, nil)) != "{\"groups\":[]}\n" {
		t.Error(b, err)
	}
}

func TestErrorNamesInvalidPartOfInput(t *testing.T) {
	for in, want := range map[string]string{
		`nonsense`:                        "batch",
		`{"groups":[]}`:                   "sim_time_ns is missing",
		`{"sim_time_ns":1,"groups":[{}]}`: "node_id is missing",
		batchLine(`{"dance":{}}`):         "unknown event",
		batchLine(`{}`):                   "want one key",
		batchLine(`{"submit":{"patience_left_ns":1}}`):                                                                  "node 3, event 0, submit: req is missing",
		batchLine(`{"submit":{"req":"q"}}`):                                                                             "patience_left_ns is missing",
		batchLine(`{"due":{}}`):                                                                                         "label is missing",
		batchLine(`{"roster_change":{"how":"Q"}}`):                                                                      "unknown how",
		batchLine(`{"up":{"seed":1}}`):                                                                                  "profile_data is missing",
		batchLine(`{"probe_result":{"disposition":0}}`):                                                                 "backend is missing",
		batchLine(`{"attempt_end":{"req":"q","leg":0,"backend":1}}`):                                                    "disposition is missing",
		batchLine(`{"attempt_end":{"req":"q","leg":0,"backend":1,"disposition":99}}`):                                   "unknown disposition 99",
		batchLine(`{"roster_change":{"how":"F","items":[{"zone":"z","state":"ready"}]}}`):                               "backend is missing",
		batchLine(`{"up":{"seed":1,"profile_data":{"classes":[{"name":"x","effect":"odd","key_scope":"all"}]}}}`):       "unknown effect",
		batchLine(`{"up":{"seed":1,"profile_data":{"classes":[{"name":"x","effect":"retryable","key_scope":"odd"}]}}}`): "unknown key_scope",
		batchLine(`{"up":{"seed":1,"profile_data":{"membership_mode":"odd"}}}`):                                         "unknown membership_mode",
		batchLine(`{"up":{"seed":1,"profile_data":{"report":{"how":"odd"}}}}`):                                          "node 3, event 0, up: unknown report.how",
		batchLine(`{"up":{"seed":1,"profile_data":{"weight_kind":"odd"}}}`):                                             "unknown weight_kind",
		batchLine(`{"up":{"seed":1,"profile_data":{"worth_by":"odd"}}}`):                                                "unknown worth_by",
		batchLine(`{"roster_change":{"how":"F","items":[{"backend":1,"state":"odd"}]}}`):                                "unknown state",
	} {
		if _, err := DecodeBatch([]byte(in)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", in, err, want)
		}
	}
}

func TestReplyIsEncodedAsJSON(t *testing.T) {
	line := AppendReply(nil, []Reply{{Proxy: 3, Actions: []balancer.Action{
		balancer.StartAttempt{ID: "q", Endpoint: 4294967295, Timeout: 80 * time.Millisecond}, balancer.Reject{ID: "q", RetryAfter: 5},
		balancer.Fail{ID: "q"}, balancer.CancelAttempt{ID: "q", Attempt: 1}, balancer.SetTimer{After: 5, Token: 77},
		balancer.QueryLoad{Endpoint: 1}, balancer.SendMessage{ToAll: true, Data: []byte("hi")}, balancer.SendMessage{To: 2},
		balancer.Subscribe{On: true}, balancer.FetchEndpoints{}, balancer.CloseIdleConnections{Endpoint: 1}, balancer.Log{Line: "a \"b\""}}}, {Proxy: 4}})
	var v struct {
		Groups []struct {
			Node    int                         `json:"node_id"`
			Actions []map[string]map[string]any `json:"actions"`
		} `json:"groups"`
	}
	if err := json.Unmarshal(line, &v); err != nil {
		t.Fatal(err, string(line))
	}
	if len(v.Groups) != 1 || len(v.Groups[0].Actions) != 12 || v.Groups[0].Actions[0]["assign"]["try_for_ns"] != 8e7 ||
		v.Groups[0].Actions[6]["tell"]["dest"] != "*" || v.Groups[0].Actions[11]["trace"]["message"] != `a "b"` {
		t.Error(string(line))
	}
}

// FuzzDecode: decoding does not panic, and an empty line is an error.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(batchLine(strings.ReplaceAll(startEvent, "\n", ""))))
	f.Add([]byte(batchLine(`{"submit":{"req":"q","patience_left_ns":1}},{"due":{"label":7}},{"retire":{}}`)))
	f.Add([]byte(batchLine(`{"attempt_end":{"req":"q","leg":0,"backend":1,"disposition":0,"feedback":{"active":1e400}}}`)))
	f.Add([]byte(`{"sim_time_ns":1,"groups":[{"node_id":3,"happened":[{"subm`))
	f.Fuzz(func(t *testing.T, line []byte) {
		if b, err := DecodeBatch(line); err == nil && b.Groups == nil && len(line) == 0 {
			t.Fatal("an empty line is decoded as a batch")
		}
	})
}
