package proxy

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkRequest measures a request through the proxy to an endpoint on a loopback connection. Allocations include the
// endpoint's.
func BenchmarkRequest(b *testing.B) {
	for _, path := range []string{"/u/x", "/st/x"} {
		b.Run(path, func(b *testing.B) {
			answer := succeed("ok")
			if path == "/st/x" {
				answer = func(c net.Conn, r *http.Request) { respondEvents(true, 1, 2, 3, 4, 5, 6, 7, 8)(c, r) }
			}
			script := make([]func(net.Conn, *http.Request), 200_000)
			for i := range script {
				script[i] = answer
			}
			r := newTestProxy(b, newFakeEndpoint(b, "e1", script...))
			b.ReportAllocs()
			for b.Loop() {
				request := httptest.NewRequest(http.MethodPost, path, nil)
				request.Host = "h"
				request.Header.Set("Api-Key", "k")
				request.Header.Set("X-Request-Id", "id")
				recorder := httptest.NewRecorder()
				r.proxy.ServeHTTP(recorder, request)
				if recorder.Code != http.StatusOK {
					b.Fatalf("the response has status %d", recorder.Code)
				}
			}
		})
	}
}
