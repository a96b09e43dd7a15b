package plan

import (
	"encoding/json"
	"time"

	"pinelb.example/pinelb/internal/lab/scenario"
)

const (
	timeResolution = 2 * time.Millisecond // the setting "quantum"
	responseSlack  = 8 * time.Millisecond // the setting "answer_slack"; the judges allow Rules.ResponseSlack, which is more
)

// idempotencyNames has the settings' word for each of a scenario's.
var idempotencyNames = map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}

// Zone is the one zone of every scenario.
const Zone = "here"

// Settings returns a sidecar's settings, as LB_CONFIG has them under "settings".
func (p *Plan) Settings(sidecar int) json.RawMessage {
	s, c := p.Scenario, &p.Sidecars[sidecar]
	rules := &s.Rules
	countedBy := "request"
	if rules.ValueByWork {
		countedBy = "work"
	}
	var classes, kinds, tiers []any
	for i := range s.Classes {
		classes = append(classes, classSettings(&s.Classes[i]))
	}
	for _, kind := range s.Tiers[c.Tier].Kinds {
		kinds = append(kinds, kind.Name)
	}
	for _, tier := range s.Tiers {
		tiers = append(tiers, tier.Name)
	}
	doc := map[string]any{
		"allowed": map[string]any{
			"cancel":          rules.Cancel,
			"conn_idle":       rules.ConnIdleTimeout.D(),
			"connect_timeout": rules.ConnectTimeout.D(),
			"max_retry_after": rules.MaxRetryAfter.D(),
			"most_held":       rules.MaxPending,
			"probing":         rules.HealthChecks,
			"retry_after":     rules.RetryAfter,
			"second_copies":   rules.Hedging,
			"send_cap":        rules.MaxAttempts,
			"peer_messages":   false,
		},
		"classes":       classes,
		"clients":       map[string]any{"marks_retry": rules.MarksRetries},
		"counted_by":    countedBy,
		"family_info":   map[string]any{"passes_deadline": rules.PropagatesDeadline},
		"kinds":         kinds,
		"locality":      0,
		"n_instances":   c.ConfiguredInstances,
		"rank":          c.Rank,
		"quantum":       timeResolution,
		"registry_mode": "automatic",
		"prices":        map[string]any{"late_fail": 0.05, "probe": 0.01, "waste": 0.04},
		"rules": map[string]any{
			"answer_slack":        responseSlack,
			"cold":                rules.WarmupDuration.D(),
			"cold_share":          rules.WarmupInitialShare,
			"fall":                rules.CollapseWindow.D(),
			"stop_sending_within": rules.DrainGrace.D(),
			"tip_multiple":        rules.CollapseMultiple,
		},
		"tier":          c.Tier,
		"tiers":         tiers,
		"weight_source": "nominal",
		"zones":         []string{Zone},
	}
	if s.Fleet.RankSetting == "none" {
		delete(doc, "rank")
	}
	return mustMarshal(doc)
}

func classSettings(class *scenario.Class) map[string]any {
	return map[string]any{
		"name":        class.Name,
		"aim":         class.TargetLatency.D(),
		"deadline":    class.Deadline.D(),
		"worth":       class.Value,
		"idempotency": idempotencyNames[class.Idempotency],
		"key_scope":   "all",
		"memory_span": class.DedupWindow.D(),
		"late_worth":  0.0,
	}
}

// ListedMember returns an entry as the list service has it on the wire. Start is the run's start as Unix time, and addr
// the host:port of the endpoint.
func (p *Plan) ListedMember(entry ListEntry, addr string, start time.Time) map[string]any {
	endpoint := &p.Endpoints[entry.Endpoint]
	startedMS := int64(0)
	if entry.StartedAt > 0 {
		startedMS = start.Add(entry.StartedAt).UnixMilli()
	}
	return map[string]any{"id": endpoint.Name, "host_port": addr, "locality": Zone, "flavor": endpoint.Kind, "cell": 0,
		"phase": entry.Phase.String(), "size": float64(endpoint.Spec.Cores), "up_since_ms": startedMS}
}
