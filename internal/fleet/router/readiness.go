package router

import "net/http"

// serveReady replies to the platform's readiness probe: 200, or 503 if clients should not be sent to this router.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isReady reports whether this router can serve clients. It must not be draining, and must have a configuration that an operator submitted
// and that was confirmed to be the newest since the start of the process and less than unconfirmedAge ago; with strict revocation, the
// age of the confirmation must not exceed MaxConfigAge, beyond which keys are not accepted. At least one endpoint of a configured service
// must be ready; ejected endpoints count.
func (r *Router) isReady() bool {
	table, age := r.ActiveConfig()
	if r.draining.Load() || table == nil || table.Version == 0 || age >= unconfirmedAge {
		return false
	}
	if lease := proxyOptions(r.settings).MaxConfigAge; lease > 0 && age > lease {
		return false
	}
	for _, service := range table.Services() {
		if r.dispatcher.EndpointCount(service) > 0 {
			return true
		}
	}
	return false
}
