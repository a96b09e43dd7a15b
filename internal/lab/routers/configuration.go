package routers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/fleet/router"
)

// firstConfiguration returns a configuration with a route and a service for each model, and two keys for each tenant.
func (f *fleet) firstConfiguration() string {
	f.version = 1
	var routes, services, tenants []string
	for m := range f.config.Models {
		services = append(services, fmt.Sprintf(`{"name":"m%d","maxConnections":500}`, m))
		routes = append(routes, fmt.Sprintf(
			`{"name":"r%d","host":"h","pathPrefix":"/m%d/","type":"streaming","timeoutMs":15000,"targetLatencyMs":1300,"service":"m%d"}`, m, m, m))
	}
	for n := range f.config.Tenants {
		tenants = append(tenants, fmt.Sprintf(`{"name":"t%d","apiKeys":["key-%d-a","key-%d-b"],"ratePerS":100000,"burst":100000}`, n, n, n))
	}
	return fmt.Sprintf(`{"version":1,"routes":[%s],"services":[%s],"tenants":[%s]}`, strings.Join(routes, ","),
		strings.Join(services, ","), strings.Join(tenants, ","))
}

// change returns the body of a change: some more routes, or a service that differs.
func (f *fleet) change(number int) string {
	if f.config.Routes == 0 {
		return fmt.Sprintf(`{"version":%d,"upsert":{"services":[{"name":"m0","maxConnections":%d}]}}`, f.version, 600+number)
	}
	routes := make([]string, f.config.Routes)
	for i := range routes {
		n := number*f.config.Routes + i
		routes[i] = fmt.Sprintf(`{"name":"more-%06d","host":"h%d.example","pathPrefix":"/more%d/","type":"streaming","timeoutMs":15000,`+
			`"targetLatencyMs":800,"priority":1,"service":"m0","maxAttempts":1,"public":false,"sessionAffinity":true,"streamResume":false,`+
			`"gap_aim_ms":250}`, n, n%50, n)
	}
	return fmt.Sprintf(`{"version":%d,"upsert":{"routes":[%s]}}`, f.version, strings.Join(routes, ","))
}

// submitConfig submits a configuration to the core until it is acknowledged, and returns how long that took. It gives up after
// Config.Timeout or when ctx is done.
func (f *fleet) submitConfig(ctx context.Context, path, body string) (time.Duration, error) {
	startedAt := time.Now()
	for end := startedAt.Add(f.config.Timeout); time.Now().Before(end) && ctx.Err() == nil; {
		for core := range f.config.Core {
			url := fmt.Sprintf("http://%s:%d%s", f.ip(core), controlPort, path)
			if f.post(ctx, url, body, "X-Base-Version", fmt.Sprint(f.version-1)) == http.StatusOK {
				return time.Since(startedAt), nil
			}
		}
		time.Sleep(pollInterval)
	}
	return 0, fmt.Errorf("routers: the core did not take version %d within %v", f.version, f.config.Timeout)
}

// post sends a request and returns the status of the response, or 0 if there was none. Headers are pairs of name and value.
func (f *fleet) post(ctx context.Context, url, body string, headers ...string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body) // only the status counts; reading keeps the connection usable
	return response.StatusCode
}

// awaitVersion waits until the current version is in force at all running routers, or Config.Timeout is over. It returns the delay of
// each router since from, and the number of routers that were late.
func (f *fleet) awaitVersion(ctx context.Context, from time.Time) (delays []time.Duration, late int) {
	waiting := slices.DeleteFunc(slices.Clone(f.routers), func(r *router.Router) bool { return r == nil })
	for end := time.Now().Add(f.config.Timeout); len(waiting) > 0 && time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollInterval) {
		waiting = slices.DeleteFunc(waiting, func(r *router.Router) bool {
			table, _ := r.ActiveConfig()
			if table == nil || table.Version < f.version {
				return false
			}
			delays = append(delays, time.Since(from))
			return true
		})
	}
	return delays, len(waiting)
}
