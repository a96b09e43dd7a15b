// Package balance decides, for one sidecar, to which endpoint each request goes, when it is retried or hedged, and when it
// is rejected. It is pure: it does no I/O, reads no clock and starts no goroutines. The caller passes every event with the
// current time to Balancer.Handle and carries out the actions that Handle appends to its buffer.
//
// A Balancer isn't safe for concurrent use; package driver serialises its events. With the same settings, seed and events
// it takes the same decisions: TestRecordedDecisions and TestGoldenDecisions hold it to that.
//
// The interface is in settings.go, event.go, action.go, balancer.go and learned_state.go. The decisions are in admission.go
// and queue.go (which requests are accepted, queued or rejected), subset.go, routing.go and sending.go (which endpoint gets
// an attempt), solve.go and curve.go (the routing weights, for the kinds of calls in bins.go), latency.go and limit.go (the
// concurrency limit), health.go, warmup.go, outcomes.go (retries and final answers), hedging.go, membership.go and tick.go.
// Their constants are in tunables.go. Packages balance/grey and balance/warmup hold the two estimators that it uses.
//
// Invariants: a request gets one final answer (Balancer.complete is the only place that ends one); send is the only place
// that starts an attempt; no attempt starts that idempotencyAllows forbids.
package balance
