// Package placement chooses the endpoint of each call from the measurements of this router and the reports of other routers.
//
// Following E2E (Xu et al., SIGCOMM 2019), a [Placer] has a table for each service and target latency. A table has one row
// for each range of the share of the target that has passed before the call is placed; a row holds each endpoint's share of
// the calls. Rows are optimized for the highest expected share of calls whose first token arrives within the target
// (solver.go). A call's endpoint is drawn from its row by weighted rendezvous hashing of the longest shared prefix of its
// prompt (Thaler and Ravishankar, 1998), so that each endpoint gets its share of prefixes and a prefix keeps its endpoint as
// long as the row does not change. Endpoints whose expected loss for the call is higher than that of the best one are
// excluded from the draw (loss.go).
//
// The expected loss is estimated from:
//
//   - the queue of prompts that an endpoint has not prefilled yet (queue.go), and the prefixes that it has cached
//     (prefix_cache.go);
//   - the time to first token of a service's endpoints by prompt length (prefill.go), and each endpoint's speed relative to it
//     (slowness.go);
//   - failures and overdue answers (failure_evidence.go);
//   - the streams that a long prefill would stall (streams.go, stalls.go).
//
// An endpoint is ejected after a failed connection or two consecutive failures (feedback.go, endpoint.go). The constants of
// all models are in tuning.go.
//
// The package does no I/O, reads no clock and starts no goroutines. Times are offsets on a monotonic clock of the caller.
// The same calls with the same random source give the same decisions, except for three results that depend on map iteration
// order: which of several prefixes of the same age is evicted, the order of the lists of [Placer.ExportLearned], and the
// order of removed endpoints. Nothing is safe for concurrent use: the caller (the Dispatcher of fleet/proxy) holds a lock.
// internal/lab/decision runs the package in simulated time.
package placement
