// Package balance decides, for one sidecar, which endpoint each request is sent to and whether the request is retried,
// hedged or rejected. It is pure: it does no I/O, reads no clock and starts no goroutines. The caller passes every
// event with the current time to Balancer.Handle and carries out the actions that Handle appends to its buffer.
//
// A Balancer isn't safe for concurrent use; package driver serialises its events. With the same settings, seed and events
// it makes the same decisions, which TestRecordedDecisions and TestGoldenDecisions check.
//
// The interface is in settings.go, event.go, action.go, balancer.go, learned_state.go and, for EndpointHealth,
// endpoint.go. The decisions are in admission.go and queue.go (which requests are accepted, queued or rejected),
// subset.go with ring.go, routing.go and sending.go (which endpoint gets an attempt), solve.go, curve.go, rows.go and
// simplex.go (the routing weights, for the kinds of requests in bins.go), limit.go (the concurrency limit), health.go
// (ejection and panic mode), warmup.go, outcomes.go (retries and final answers), hedging.go, membership.go,
// reconfigure.go (changed settings) and tick.go (periodic work). latency.go records what the outcomes of attempts show
// of latencies, health and load. The state is in request.go, class.go, endpoint.go and pending.go, with means from
// mean.go. The constants are in tunables.go. The estimators of endpoint health and of warm-up budgets are in packages
// balance/grey and balance/warmup.
//
// Invariants: a request gets exactly one final answer (only Balancer.complete ends a request); only Balancer.send
// starts an attempt; no attempt is started that idempotencyAllows forbids.
package balance
