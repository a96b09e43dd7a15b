package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"cairncross.example/cairncross/balance"
)

// settings mirrors the JSON of a start message; keys that it lacks are ignored.
type settings struct {
	Allowed struct {
		Cancel         bool  `json:"cancel"`
		ConnectTimeout int64 `json:"connect_timeout"`
		MaxRetryAfter  int64 `json:"max_retry_after"`
		MostHeld       int   `json:"most_held"`
		PeerMessages   bool  `json:"peer_messages"`
		Probing        bool  `json:"probing"`
		RetryAfter     bool  `json:"retry_after"`
		SecondCopies   bool  `json:"second_copies"`
		SendCap        int   `json:"send_cap"`
	} `json:"allowed"`
	Classes []struct {
		Aim         int64   `json:"aim"`
		AimStretch  float64 `json:"aim_stretch"`
		Deadline    int64   `json:"deadline"`
		Idempotency string  `json:"idempotency"`
		KeyScope    string  `json:"key_scope"`
		LateWorth   float64 `json:"late_worth"`
		MemorySpan  int64   `json:"memory_span"`
		Stream      bool    `json:"stream"`
		Worth       float64 `json:"worth"`
	} `json:"classes"`
	Clients struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"clients"`
	CountedBy  string `json:"counted_by"`
	FamilyInfo struct {
		PassesDeadline bool `json:"passes_deadline"`
	} `json:"family_info"`
	Kinds          []string `json:"kinds"`
	Locality       int      `json:"locality"`
	NInstances     int      `json:"n_instances"`
	OverShareWorth *float64 `json:"over_share_worth"`
	Prices         struct {
		CrossZone float64 `json:"cross_zone"`
		Handshake float64 `json:"handshake"`
		LateFail  float64 `json:"late_fail"`
		Peer      float64 `json:"peer"`
		Probe     float64 `json:"probe"`
		Waste     float64 `json:"waste"`
	} `json:"prices"`
	Quantum      int64  `json:"quantum"`
	Rank         int    `json:"rank"`
	RegistryMode string `json:"registry_mode"`
	Reporting    struct {
		Fields []string `json:"fields"`
		Source string   `json:"source"`
	} `json:"reporting"`
	Rules struct {
		AnswerSlack       int64   `json:"answer_slack"`
		Cold              int64   `json:"cold"`
		ColdShare         float64 `json:"cold_share"`
		Fall              int64   `json:"fall"`
		MustAskIn         int64   `json:"must_ask_in"`
		StopSendingWithin int64   `json:"stop_sending_within"`
		TipMultiple       float64 `json:"tip_multiple"`
	} `json:"rules"`
	Tenants []struct {
		QuotaRPS float64 `json:"quota_rps"`
		Share    float64 `json:"share"`
	} `json:"tenants"`
	Tier         int      `json:"tier"`
	Tiers        []string `json:"tiers"`
	WeightSource string   `json:"weight_source"`
	Zones        []string `json:"zones"`
}

var effects = map[string]balance.Effect{
	"read_like": balance.Safe, "idempotency_key": balance.Keyed, "non_idempotent": balance.Unsafe,
}

var scopes = map[string]balance.Scope{
	"": balance.ScopeAll, "all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell,
}

var loadFields = map[string]balance.LoadField{
	"concurrent": balance.LoadInFlight, "depth": balance.LoadQueue, "load_share": balance.LoadUtilisation,
	"mean_ms": balance.LoadServiceMS, "tps": balance.LoadRate, "err_ps": balance.LoadErrorRate,
}

// ParseSettings reads the JSON of a start message.
func ParseSettings(data []byte) (balance.Settings, error) {
	var in settings
	if err := json.Unmarshal(data, &in); err != nil {
		return balance.Settings{}, fmt.Errorf("wire: settings: %w", err)
	}
	out := balance.Settings{
		Instances: in.NInstances, Rank: in.Rank, Tier: in.Tier, Tiers: len(in.Tiers),
		Zone: in.Locality, Zones: len(in.Zones), Kinds: len(in.Kinds), OverShareWorth: 1,
		ByWork: in.CountedBy == "work", PassesDeadline: in.FamilyInfo.PassesDeadline,
		MarksRetry: in.Clients.MarksRetry, MustAsk: in.RegistryMode == "subscribe",
		Weights: in.WeightSource != "off" && in.WeightSource != "", LoadInline: in.Reporting.Source == "inline",
		Prices: balance.Prices{Waste: in.Prices.Waste, Handshake: in.Prices.Handshake, Probe: in.Prices.Probe,
			Peer: in.Prices.Peer, LateFail: in.Prices.LateFail, CrossZone: in.Prices.CrossZone},
		Quantum: time.Duration(in.Quantum), Cancel: in.Allowed.Cancel, SecondCopies: in.Allowed.SecondCopies,
		Probes: in.Allowed.Probing, Peers: in.Allowed.PeerMessages, RetryAfter: in.Allowed.RetryAfter,
		MaxRetryAfter: time.Duration(in.Allowed.MaxRetryAfter), MaxAttempts: in.Allowed.SendCap,
		MaxHeld: in.Allowed.MostHeld, ConnectTimeout: time.Duration(in.Allowed.ConnectTimeout),
		AnswerSlack: time.Duration(in.Rules.AnswerSlack), DrainGrace: time.Duration(in.Rules.StopSendingWithin),
		MustAskIn: time.Duration(in.Rules.MustAskIn), ColdShare: in.Rules.ColdShare,
		ColdFor: time.Duration(in.Rules.Cold), FallMultiple: in.Rules.TipMultiple,
		FallWindow: time.Duration(in.Rules.Fall),
	}
	if in.OverShareWorth != nil {
		out.OverShareWorth = *in.OverShareWorth
	}
	for _, f := range in.Reporting.Fields {
		out.LoadFields = append(out.LoadFields, loadFields[f])
	}
	for _, t := range in.Tenants {
		out.Tenants = append(out.Tenants, balance.Tenant{Share: t.Share, Quota: t.QuotaRPS})
	}
	for i, c := range in.Classes {
		effect, known := effects[c.Idempotency]
		scope, scoped := scopes[c.KeyScope]
		if !known || !scoped {
			return out, fmt.Errorf("wire: settings: class %d: unknown idempotency %q or key_scope %q", i, c.Idempotency, c.KeyScope)
		}
		out.Classes = append(out.Classes, balance.Class{
			Aim: time.Duration(c.Aim), AimStretch: c.AimStretch, Deadline: time.Duration(c.Deadline), Effect: effect,
			Scope: scope, Memory: time.Duration(c.MemorySpan), Worth: c.Worth, LateWorth: c.LateWorth, Stream: c.Stream,
		})
	}
	return out, nil
}
