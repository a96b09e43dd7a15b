package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/balance"
)

// Settings are the site's settings, for the engine and for the names on the sockets.
type Settings struct {
	balance.Settings
	ClassNames  []string      // by class index, as requests name them
	TenantNames []string      // by tenant index, as requests name them
	KindNames   []string      // by kind index, as discovery names them
	ZoneNames   []string      // by zone index, as discovery names them
	Removed     []bool        // by class index, of Renumbered settings: the file no longer has the class; nil: none
	ConnIdle    time.Duration // after which an upstream host closes an idle connection
}

var effects = map[string]balance.Idempotency{
	"read_like": balance.Idempotent, "idempotency_key": balance.IdempotentByKey, "non_idempotent": balance.NonIdempotent,
}

var scopes = map[string]balance.Scope{
	"": balance.ScopeAll, "all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell,
}

var loadFields = map[string]balance.LoadField{
	"concurrent": balance.LoadInFlight, "depth": balance.LoadQueue, "load_share": balance.LoadUtilisation,
	"mean_ms": balance.LoadServiceMS, "tps": balance.LoadRate, "err_ps": balance.LoadErrorRate,
}

// fieldKeys are the file's keys of the fields that a balance.Fault can name.
var fieldKeys = map[string]string{
	"Classes": "classes", "Instances": "n_instances", "MaxAttempts": "allowed.send_cap", "Quantum": "quantum",
	"ColdShare": "rules.cold_share", "FallMultiple": "rules.tip_multiple", "FallWindow": "rules.fall", "MustAskIn": "rules.must_ask_in",
	"Aim": "aim", "Deadline": "deadline", "Worth": "worth", "Effect": "idempotency", "Memory": "memory_span",
}

// settingsKey returns the key in the file's settings of a field, such as classes[1].deadline of Classes[1].Deadline.
func settingsKey(field string) string {
	if index, ok := strings.CutPrefix(field, "Classes["); ok {
		if index, of, ok := strings.Cut(index, "]."); ok {
			return fmt.Sprintf("classes[%s].%s", index, fieldKeys[of])
		}
	}
	return fieldKeys[field]
}

// ParseSettings parses the settings object that the simulator's first message and LB_CONFIG share. Unknown keys are ignored; a
// value of the wrong type is an error that names the key.
func ParseSettings(data []byte) (Settings, error) {
	if !gjson.ValidBytes(data) {
		return Settings{}, fmt.Errorf("config: settings are not valid JSON")
	}
	return readSettings(&reader{path: "settings", json: gjson.ParseBytes(data)})
}

func readSettings(r *reader) (Settings, error) {
	if !r.json.IsObject() {
		return Settings{}, fmt.Errorf("config: %s must be an object", r.path)
	}
	out := Settings{Settings: balance.Settings{
		Instances: r.integer("n_instances"), Rank: r.integer("rank"), Tier: r.integer("tier"),
		Zone: r.integer("locality"), OverQuotaValue: r.nonNegativeOr("over_share_worth", 1),
		ValueByWork: r.text("counted_by") == "work", PropagatesDeadline: r.flag("family_info.passes_deadline"),
		MarksRetries: r.flag("clients.marks_retry"), PollsDiscovery: r.text("registry_mode") == "subscribe",
		Weights:    r.text("weight_source") != "off" && r.text("weight_source") != "",
		LoadInline: r.text("reporting.source") == "inline",
		Prices: balance.Prices{Waste: r.number("prices.waste"), Handshake: r.number("prices.handshake"),
			Probe: r.number("prices.probe"), Peer: r.number("prices.peer"),
			LateFail: r.number("prices.late_fail"), CrossZone: r.number("prices.cross_zone")},
		TimeResolution: r.duration("quantum"), Cancel: r.flag("allowed.cancel"), Hedging: r.flag("allowed.second_copies"),
		HealthChecks: r.flag("allowed.probing"), PeerMessages: r.flag("allowed.peer_messages"),
		RetryAfter: r.flag("allowed.retry_after"), MaxRetryAfter: r.duration("allowed.max_retry_after"),
		MaxAttempts: r.integer("allowed.send_cap"), MaxPending: r.integer("allowed.most_held"),
		ConnectTimeout: r.duration("allowed.connect_timeout"), ResponseSlack: r.duration("rules.answer_slack"),
		DrainGrace: r.duration("rules.stop_sending_within"), MaxListAge: r.duration("rules.must_ask_in"),
		WarmupInitialShare: r.number("rules.cold_share"), WarmupDuration: r.duration("rules.cold"),
		CollapseMultiple: r.number("rules.tip_multiple"), CollapseWindow: r.duration("rules.fall"),
	}}
	if out.Rank < 0 { // it is an index
		r.fail("rank", "must not be below 0")
	}
	out.ConnIdle = r.duration("allowed.conn_idle")
	out.KindNames, out.ZoneNames = r.texts("kinds"), r.texts("zones")
	out.Kinds, out.Zones, out.Tiers = len(out.KindNames), len(out.ZoneNames), len(r.texts("tiers"))
	for _, f := range r.texts("reporting.fields") {
		out.LoadFields = append(out.LoadFields, loadFields[f])
	}
	out.readTenants(r)
	out.readClasses(r)
	return out, r.firstError()
}

func (s *Settings) readTenants(r *reader) {
	for _, t := range r.objects("tenants") {
		s.TenantNames = append(s.TenantNames, t.text("name"))
		s.Tenants = append(s.Tenants, balance.Tenant{Share: t.nonNegative("share"), Quota: t.nonNegative("quota_rps")})
	}
}

func (s *Settings) readClasses(r *reader) {
	for _, c := range r.objects("classes") {
		effect, known := effects[c.text("idempotency")]
		if !known {
			c.fail("idempotency", "is unknown")
		}
		scope, known := scopes[c.text("key_scope")]
		if !known {
			c.fail("key_scope", "is unknown")
		}
		s.ClassNames = append(s.ClassNames, c.text("name"))
		s.Classes = append(s.Classes, balance.Class{
			TargetLatency: c.duration("aim"), TargetLatencyStretch: c.nonNegative("aim_stretch"), Deadline: c.duration("deadline"), Idempotency: effect,
			Scope: scope, DedupWindow: c.duration("memory_span"), Value: c.nonNegative("worth"), LateValue: c.nonNegative("late_worth"),
			Stream: c.flag("stream"),
		})
	}
}
