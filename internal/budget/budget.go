// Package budget decides what a request may cause below a sidecar: how many attempts in all, how much time the next tier has,
// what value the request has, and whether it is in a loop. It is pure: no I/O, no clock, no goroutines; the caller passes the
// time. Nothing here is safe for concurrent use. Package stream is its caller; package balance still decides where a request
// goes, whether it is retried and what is rejected, with the results from here as inputs.
//
// Attempts. The first tier's sidecar has a RetryBudget, a token bucket. It grants each of a client's first attempts so many
// extra attempts beyond the plain chain of one a tier, and those that were used are paid for when the request fails; what
// succeeds pays nothing and earns tokens. So retries are plentiful while they help, wherever in the chain they are made, and
// while nothing below succeeds they are a stated share of the clients' first attempts: TokensPerRequest each, and what was
// open when the faults began. A client's own retry is an attempt like any other, paid for before it goes.
// The sidecars behind have no retry budget of their own: they share out what came with the request. Each attempt takes a part
// of it along (Allowance), and calls that one server makes for one request share one pool (SharedPools).
//
// No request causes more than 1 + its grant attempts at the bottom, whatever fails in whatever order: a grant is a number that
// is only ever divided. A retry costs one of it, what an attempt takes along is taken off, and nothing adds to it but the
// return of what was not used, once. TestRetriesBoundedByGrant checks that on random chains.
package budget
