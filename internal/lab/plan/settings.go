package plan

import (
	"encoding/json"
	"fmt"
	"time"
)

// quantum is the shortest time between two events of a sidecar, as its settings say.
const timeResolution = 2 * time.Millisecond

var idempotencyNames = map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}

// Zone is the one zone of every scenario.
const Zone = "here"

// Settings are a sidecar's, as LB_CONFIG has them under "settings".
func (p *Plan) Settings(sidecar int) json.RawMessage {
	s, c := p.Scenario, &p.Sidecars[sidecar]
	r := &s.Rules
	counted := "request"
	if r.ValueByWork {
		counted = "work"
	}
	var classes, kinds, tiers []any
	for _, k := range s.Classes {
		classes = append(classes, map[string]any{"name": k.Name, "aim": k.TargetLatency.D(), "deadline": k.Deadline.D(), "worth": k.Value,
			"idempotency": idempotencyNames[k.Idempotency], "key_scope": "all", "memory_span": k.DedupWindow.D(), "late_worth": 0.0})
	}
	for _, k := range s.Tiers[c.Tier].Kinds {
		kinds = append(kinds, k.Name)
	}
	for _, t := range s.Tiers {
		tiers = append(tiers, t.Name)
	}
	doc := map[string]any{
		"allowed": map[string]any{"cancel": r.Cancel, "conn_idle": r.ConnIdleTimeout.D(), "connect_timeout": r.ConnectTimeout.D(),
			"max_retry_after": r.MaxRetryAfter.D(), "most_held": r.MaxPending, "probing": r.HealthChecks, "retry_after": r.RetryAfter,
			"second_copies": r.Hedging, "send_cap": r.MaxAttempts, "peer_messages": false},
		"classes": classes, "clients": map[string]any{"marks_retry": r.MarksRetries}, "counted_by": counted,
		"family_info": map[string]any{"passes_deadline": r.PropagatesDeadline}, "kinds": kinds, "locality": 0,
		"n_instances": c.ConfiguredInstances, "rank": c.Rank, "quantum": timeResolution, "registry_mode": "automatic",
		"prices": map[string]any{"late_fail": 0.05, "probe": 0.01, "waste": 0.04},
		"rules": map[string]any{"answer_slack": 8 * time.Millisecond, "cold": r.WarmupDuration.D(), "cold_share": r.WarmupInitialShare,
			"fall": r.CollapseWindow.D(), "stop_sending_within": r.DrainGrace.D(), "tip_multiple": r.CollapseMultiple},
		"tier": c.Tier, "tiers": tiers, "weight_source": "nominal", "zones": []string{Zone},
	}
	if s.Fleet.RankSetting == "none" {
		delete(doc, "rank")
	}
	return mustMarshal(doc)
}

// ListedMember is an entry as discovery words it. Start is the run's start as Unix time; the box is reached at addr.
func (p *Plan) ListedMember(l ListEntry, addr string, start time.Time) map[string]any {
	b := &p.Endpoints[l.Endpoint]
	up := int64(0)
	if l.StartedAt > 0 {
		up = start.Add(l.StartedAt).UnixMilli()
	}
	return map[string]any{"id": b.Name, "host_port": addr, "locality": Zone, "flavor": b.Kind, "cell": 0,
		"phase": l.Phase.String(), "size": float64(b.Spec.Cores), "up_since_ms": up}
}

func mustMarshal(v any) json.RawMessage {
	text, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("plan: %v", err)) // all of it is plain
	}
	return text
}
