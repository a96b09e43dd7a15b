package config

import (
	"reflect"
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
)

const documentSettings = `{"allowed": {"cancel": true, "connect_timeout": 60000000, "max_retry_after": 1500000000, "most_held": 20000,
 "peer_messages": true, "probing": false, "retry_after": true, "second_copies": true, "send_cap": 4, "something_new": 1},
 "classes": [{"aim": 1200000000, "deadline": 3000000000, "idempotency": "idempotency_key", "key_scope": "cell",
 "late_worth": 0.5, "memory_span": 5000000000, "name": "a", "worth": 1.0},
 {"aim": 400000000, "deadline": 1000000000, "idempotency": "non_idempotent", "key_scope": "all", "worth": 2}],
 "family_info": {"passes_deadline": true}, "kinds": ["x", "y"], "n_instances": 3, "rank": 1, "over_share_worth": 0.05,
 "quantum": 2000000, "registry_mode": "subscribe", "reporting": {"fields": ["load_share", "novel"], "source": "inline"},
 "rules": {"answer_slack": 8000000, "cold": 23000000000, "cold_share": 0.13, "fall": 1500000000,
 "must_ask_in": 10000000000, "stop_sending_within": 250000000, "tip_multiple": 3.0},
 "tenants": [{"name": "t", "quota_rps": 63.0, "share": 0.4}], "tier": 1, "tiers": ["p", "q"], "zones": ["z"],
 "weight_source": "nominal", "counted_by": "work", "unheard_of": {"x": [1]}}`

func TestParseSettings(t *testing.T) {
	got, err := ParseSettings([]byte(documentSettings))
	if err != nil {
		t.Fatal(err)
	}
	want := balance.Settings{
		Instances: 3, Rank: 1, Tier: 1, Tiers: 2, Zones: 1, Kinds: 2, OverQuotaValue: 0.05, ValueByWork: true,
		PropagatesDeadline: true, PollsDiscovery: true, Weights: true, LoadInline: true,
		LoadFields: []balance.LoadField{balance.LoadUtilisation, balance.LoadOther},
		Classes: []balance.Class{
			{TargetLatency: 1200 * time.Millisecond, Deadline: 3 * time.Second, Idempotency: balance.IdempotentByKey, Scope: balance.ScopeCell,
				DedupWindow: 5 * time.Second, Value: 1, LateValue: 0.5},
			{TargetLatency: 400 * time.Millisecond, Deadline: time.Second, Idempotency: balance.NonIdempotent, Value: 2},
		},
		Tenants:        []balance.Tenant{{Share: 0.4, Quota: 63}},
		TimeResolution: 2 * time.Millisecond, Cancel: true, Hedging: true, PeerMessages: true, RetryAfter: true,
		MaxRetryAfter: 1500 * time.Millisecond, MaxAttempts: 4, MaxPending: 20000, ConnectTimeout: 60 * time.Millisecond,
		ResponseSlack: 8 * time.Millisecond, DrainGrace: 250 * time.Millisecond, MaxListAge: 10 * time.Second,
		WarmupInitialShare: 0.13, WarmupDuration: 23 * time.Second, CollapseMultiple: 3, CollapseWindow: 1500 * time.Millisecond,
	}
	if !reflect.DeepEqual(got.Settings, want) {
		t.Errorf("got  %+v\nwant %+v", got.Settings, want)
	}
	for _, bad := range []string{"", "[]", `{"classes": [{"idempotency": "sometimes"}]}`} {
		if _, err := ParseSettings([]byte(bad)); err == nil {
			t.Errorf("settings %q were taken", bad)
		}
	}
}
