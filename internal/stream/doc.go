// Package stream serves one request from its arrival to its final answer: it passes the request to the decisions (package
// driver), starts the upstream requests that they ask for, watches the client and the deadline, and keeps the retry budgets,
// the table of requests in flight, the audit log and the observer informed. It holds the protocol-neutral values that the
// downstream and upstream sides exchange. Proxy is called by packages downstream and downstream/thrift; upstream implements
// Upstream.
//
// Invariants: a stream has one final answer. Every driver.Send that was started has one outcome, whatever fails. An id that is
// in flight is not served again. Serve's goroutine owns the stream; each attempt has a goroutine of its own, which may outlive
// Serve until its upstream request has ended.
package stream
