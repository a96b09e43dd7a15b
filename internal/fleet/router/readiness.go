package router

import "net/http"

// serveReady answers the platform's readiness probe: 200, or 503 where no clients should be sent here.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isReady reports whether this router can serve clients: it is not draining, it has a configuration that the operator sent, that was
// confirmed since the start and within unconfirmedAge, with strict revocation also so lately that keys may be used, and an endpoint of a
// configured service is ready. Ejected endpoints count.
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
