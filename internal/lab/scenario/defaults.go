package scenario

import (
	"cmp"
	"time"
)

// Defaults of the elements of lists. Those of single values are in Default.
const (
	defaultResponseBytes = 64
	slotsPerCore         = 20
	queuePerCore         = 24
	defaultConnections   = 800
	defaultPermitShare   = 0.1
	defaultWarmupShare   = 0.4

	defaultDedupWindow    = Span(4 * time.Second)
	defaultWarmupDuration = Span(6 * time.Second)
	defaultHandshakeWork  = Span(1500 * time.Microsecond)
	defaultAuditInterval  = Span(time.Second)
	defaultAuditGrace     = Span(3 * time.Second)
	defaultAuditJitter    = Span(time.Second)
)

// Default returns a scenario's values where its file has none.
func Default() Scenario {
	return Scenario{
		Seed: 1, Length: Span(20 * time.Second),
		Rules: Rules{
			DrainGrace:         Span(3 * time.Second),
			WarmupInitialShare: 0.3,
			WarmupDuration:     Span(9 * time.Second),
			CollapseMultiple:   2.5,
			CollapseWindow:     Span(time.Second),
			ResponseSlack:      Span(58 * time.Millisecond),
			MaxAttempts:        4,
			MaxPending:         20000,
			Hedging:            true,
			Cancel:             true,
			HealthChecks:       true,
			RetryAfter:         true,
			MaxRetryAfter:      Span(1500 * time.Millisecond),
			ConnectTimeout:     Span(75 * time.Millisecond),
			ConnIdleTimeout:    Span(30 * time.Second),
			PropagatesDeadline: true,
			MarksRetries:       true,
		},
		Clients: Clients{
			Shape:               "steady",
			Period:              Span(10 * time.Second),
			MaxRetries:          3,
			AttemptTimeoutShare: 0.55,
			Backoff:             Span(100 * time.Millisecond),
			HonorRetryAfter:     0.15,
			FailureDetection:    Span(2 * time.Second),
		},
		Fleet: Fleet{
			Sidecars:    1,
			Protocol:    "http",
			Policy:      "pinelb",
			RankSetting: "right",
			Start:       "before",
			InitialList: "fresh",
			MemoryMB:    192,
			Sockets:     1024,
			Cores:       1,
		},
		Discovery: Discovery{
			AddDelay:          Span(500 * time.Millisecond),
			RemoveDelay:       Span(time.Second),
			UnresponsiveDelay: Span(6 * time.Second),
			Jitter:            Span(300 * time.Millisecond),
		},
		Network: Network{Delay: Span(100 * time.Microsecond)},
	}
}

// setDefaults gives the elements of lists their defaults.
func (s *Scenario) setDefaults() {
	for i := range s.Classes {
		s.Classes[i].setDefaults()
	}
	if b := s.Fleet.Budget; b != nil {
		b.Share = cmp.Or(b.Share, 1)
	}
	if service := s.Discovery.ListService; service != nil {
		service.OnOverflow = cmp.Or(service.OnOverflow, "503")
	}
	for i := range s.Auditors {
		a := &s.Auditors[i]
		a.Interval = cmp.Or(a.Interval, defaultAuditInterval)
		a.Grace = cmp.Or(a.Grace, defaultAuditGrace)
		a.Jitter = cmp.Or(a.Jitter, defaultAuditJitter)
		a.MaxPermitShare = cmp.Or(a.MaxPermitShare, defaultPermitShare)
	}
	for i := range s.Tiers {
		t := &s.Tiers[i]
		t.Work = cmp.Or(t.Work, 1)
		t.Propagates = cmp.Or(t.Propagates, "all")
		for j := range t.Kinds {
			t.Kinds[j].setDefaults(t.Name)
		}
	}
}

func (c *Class) setDefaults() {
	c.WorkDistribution = cmp.Or(c.WorkDistribution, "fixed")
	c.Idempotency = cmp.Or(c.Idempotency, "safe")
	c.Value = cmp.Or(c.Value, 1)
	if c.Idempotency == "keyed" {
		c.DedupWindow = cmp.Or(c.DedupWindow, defaultDedupWindow)
	}
	c.ResponseBytes = cmp.Or(c.ResponseBytes, defaultResponseBytes)
}

func (k *EndpointKind) setDefaults(tier string) {
	k.Name = cmp.Or(k.Name, tier)
	k.WarmupBy = cmp.Or(k.WarmupBy, "time")
	k.Start = cmp.Or(k.Start, "warm")
	k.CancelRule = cmp.Or(k.CancelRule, "all")
	k.Endpoints = cmp.Or(k.Endpoints, 1)
	k.Cores = cmp.Or(k.Cores, 1)
	k.Slots = cmp.Or(k.Slots, slotsPerCore*max(1, k.Cores))
	k.Queue = cmp.Or(k.Queue, queuePerCore*max(1, k.Cores))
	k.Connections = cmp.Or(k.Connections, defaultConnections)
	k.Speed = cmp.Or(k.Speed, 1)
	k.WarmupInitialShare = cmp.Or(k.WarmupInitialShare, defaultWarmupShare)
	k.WarmupDuration = cmp.Or(k.WarmupDuration, defaultWarmupDuration)
	k.HandshakeWork = cmp.Or(k.HandshakeWork, defaultHandshakeWork)
}
