// Package proxy is the data path of the router: it receives requests from clients, selects an endpoint for each by the placement
// (fleet/placement), forwards the request to that endpoint, and relays the response to the client.
//
// The steps of a request, with their files:
//
//   - server.go: ServeHTTP waits for a usable configuration, and rejects requests that it cannot serve;
//   - request.go, prefix_header.go: the request is read completely;
//   - admission.go: its route, tenant and service are determined, and the tenant's quota is charged;
//   - forward.go: it is sent to one endpoint after another until one responds, within the route's maximum number of attempts,
//     the retry budget (fleet/retry) and the request's deadline;
//   - attempt.go, encode.go: it is sent to one endpoint, and the outcome of this attempt is classified; first_token.go detects
//     an overdue first token;
//   - answer.go, events.go: the response is relayed while it is received.
//
// Invariants, each guarded by a test with planted mistakes (planted_test.go): a request that is not idempotent is never sent
// again once it may have run; if a client receives 503 or 429 without a signature, its request has not run and will not run; a
// response reaches only the client whose request it answers; a truncated response does not look complete.
//
// A [Dispatcher] holds the placement and the connections for all requests of a router, and exchanges observations with other
// routers in [Announcement]s, which the router (fleet/router) transports. Its lock is not held during I/O. Except for the
// counters and durations of the Server, all other state of the package belongs to a single request.
package proxy
