package proxy

import (
	"net/http"
	"strings"
)

// Names of the protocol's headers, in the canonical form of net/http.
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

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// routerHeaders are set by the router, or left out. Values that the client sent are not forwarded.
var routerHeaders = map[string]bool{
	headerAPIKey: true, headerTenantID: true, headerExpectedInstance: true, headerDeadline: true, headerPriority: true,
	"Content-Length": true, "Expect": true,
}

// connectionTokens returns the names of the headers that a message's Connection header lists. They are hop-by-hop headers, too.
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
