// Package placement chooses the endpoint of each call, from what this router has measured and what other routers report.
//
// Following E2E (Xu et al., SIGCOMM 2019), a [Placer] has a table for each service and target latency. Its rows are buckets of
// the share of the target that a call has spent already; a row holds each endpoint's share of the calls. Rows are solved for
// the highest expected share of calls in time (solver.go). A call's endpoint is drawn from its row by weighted rendezvous
// hashing of the longest shared prefix of its prompt (Thaler and Ravishankar, 1998), so that each endpoint gets its share of
// prefixes and a prefix stays with its endpoint while the row stands. Endpoints at which the call is expected to lose more
// than at the best one are left out of the draw (loss.go).
//
// What the loss is estimated from:
//
//   - the queue of prompts that an endpoint has still to prefill (queue.go), and which prefixes it has cached (prefix_cache.go);
//   - the time to first token of a service's endpoints by prompt length (prefill.go), and each endpoint's factor (slowness.go);
//   - failures and overdue answers (failure_evidence.go), and ejection after a failed connection or two
//     failures in a row (feedback.go, endpoint.go);
//   - the streams that a long prefill would stall (streams.go, stalls.go).
//
// The figures that the decision depends on are in tuning.go.
//
// The package is pure: no I/O, no clock, no goroutines. Times are offsets on one steady clock of the caller's; the same calls
// with the same random source give the same decisions, except that evictions among prefixes of the same age, the order of
// ExportLearned and that of the removed endpoints follow the order of a map. Nothing is safe for concurrent use: the caller
// (fleet/proxy's Dispatcher) holds a lock. internal/lab/decision plays it in simulated time.
package placement
