// Package budget limits what a request may cause below a sidecar: the total number of attempts, the time of the next
// tier, and the request's value. It also detects loops. It is pure: no I/O, no clock, no goroutines; the caller passes
// the time. Nothing here is safe for concurrent use. Package stream calls it. Package balance still decides where a
// request goes, whether it is retried and what is rejected, with the results from here as inputs.
//
// Attempts. The first tier's sidecar has a RetryBudget, a token bucket. For each first attempt of a client it grants
// extra attempts, beyond the plain chain of one attempt a tier. If the request fails, the extra attempts that were used
// are paid for with tokens; a success pays nothing and earns tokens. Retries are therefore plentiful while they help,
// wherever in the chain they are made. While nothing succeeds they are limited to a fixed share of the clients' first
// attempts, TokensPerRequest for each, plus the grants that were open when the faults began. A client's own retry is an
// attempt like any other, and is paid for before it is made.
//
// The sidecars of later tiers have no retry budget of their own: they divide the extra attempts that came with the
// request. Each attempt passes a part of them down (Allowance), and all calls that one server makes for one request
// share one pool (SharedPools).
//
// No request causes more than 1 + its grant attempts for each plain call at the last tier, whatever fails in whatever
// order, because a grant is only ever divided. A retry uses one of it, an attempt takes the part that it passes down,
// and nothing adds to it but the return of unused extra attempts, once. TestRetriesBoundedByGrant checks that on random
// chains.
package budget
