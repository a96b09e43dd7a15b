package proxy

import (
	"net/http"
	"strings"
)

// Headers of the protocol, in Go's canonical form.
const (
	headerRequestID        = "X-Request-Id"
	headerDeadline         = "X-Deadline-Ms"
	headerAPIKey           = "Api-Key"
	headerTenantID         = "X-Tenant-Id"
	headerExpectedInstance = "X-Expected-Instance"
	headerTokenUsage       = "X-Token-Usage"
	headerPrefixHash       = "X-Prefix-Hash"
	headerLastEventID      = "Last-Event-Id"
	headerNotExecuted      = "X-Not-Executed"
	headerSignature        = "X-Response-Signature"
	headerRetryAfter       = "Retry-After"
	headerPriority         = "Priority"
)

// hopByHopHeaders concern a single connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// routerHeaders are set by the router, whatever the client sent.
var routerHeaders = map[string]bool{
	headerAPIKey: true, headerTenantID: true, headerExpectedInstance: true, headerDeadline: true, headerPriority: true,
	"Content-Length": true, "Expect": true,
}

// connectionTokens returns the headers that a message's Connection header names: they are hop-by-hop too.
func connectionTokens(header http.Header) map[string]bool {
	var named map[string]bool
	for _, field := range header["Connection"] {
		for token := range strings.SplitSeq(field, ",") {
			token = strings.TrimSpace(token)
			if token == "" {
				continue
			}
			if named == nil {
				named = map[string]bool{}
			}
			named[http.CanonicalHeaderKey(token)] = true
		}
	}
	return named
}
