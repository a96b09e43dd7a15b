// Package proxy is the router's data path: it takes requests from clients, has the placement choose their endpoints, forwards
// them and passes the answers on.
//
// A request's life, with the files in order:
//
//   - server.go: ServeHTTP waits for a configuration that may be used, and rejects a request that can't be taken;
//   - request.go, prefix_header.go: the request is read completely;
//   - admission.go: its route, tenant and service are found, and the tenant's quota is charged;
//   - forward.go: it is sent to one endpoint after another until one answers, within its route's attempts, the retry budget
//     (fleet/retry) and its deadline;
//   - attempt.go, encode.go: one endpoint gets it, and the outcome is judged; first_token.go watches for an overdue answer;
//   - answer.go, events.go: the answer is passed on as it comes.
//
// Invariants, each guarded by a test with planted mistakes (planted_test.go): a request that is not idempotent is never sent
// again once it may have run; a client that gets 503 or 429 without a signature knows that its request has not run and never will;
// an answer reaches the client that it belongs to; an answer that is truncated does not look complete.
//
// A [Dispatcher] holds the placement and the connections for all requests of a router, and exchanges what it observes with other
// routers' by [Announcement]s, which the router (fleet/router) carries. No request holds its lock during I/O. The package's other
// state is each request's own, beside the Server's counters and durations.
package proxy
