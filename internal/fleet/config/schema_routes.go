package config

import (
	"bytes"
	"strings"

	"github.com/go-json-experiment/json"
)

// CUE takes 0.2 ms and 90 KB per route, so a change of thousands of routes would block the primary for seconds. Plain routes,
// whose validity is easily decided, are therefore accepted here. All other routes are checked against the schema, which also
// provides the errors.

// plainRoute has the fields of routes that the schema defines. nil: the field is absent.
type plainRoute struct {
	Name            *string         `json:"name"`
	Host            *string         `json:"host"`
	PathPrefix      *string         `json:"pathPrefix"`
	Type            *string         `json:"type"`
	TimeoutMs       *float64        `json:"timeoutMs"`
	TargetLatencyMs *float64        `json:"targetLatencyMs"`
	Priority        *int64          `json:"priority"`
	Service         *string         `json:"service"`
	Backends        *[]plainBackend `json:"backends"`
	MaxAttempts     *int64          `json:"maxAttempts"`
}

type plainBackend struct {
	Service *string  `json:"service"`
	Weight  *float64 `json:"weight"`
}

// isValidPlainRoute reports whether a route certainly satisfies the schema's #Route; false: it has to be checked against the
// schema.
func isValidPlainRoute(text rawJSON) bool {
	var route plainRoute
	return decodePlain(text, &route) && isName(route.Name) && route.Host != nil && hasPathPrefix(route.PathPrefix) && isRouteType(route.Type) &&
		route.TimeoutMs != nil && *route.TimeoutMs > 0 && isNonNegative(route.TargetLatencyMs) &&
		(route.Service == nil || isName(route.Service)) && isNonNegative(route.MaxAttempts) && areValidBackends(route.Backends)
}

// plainService and plainTenant have the fields of services and tenants that the schema defines. nil: the field is absent.
type plainService struct {
	Name            *string `json:"name"`
	HealthCheckPath *string `json:"healthCheckPath"`
	MaxConnections  *int64  `json:"maxConnections"`
}

type plainTenant struct {
	Name     *string   `json:"name"`
	APIKeys  *[]string `json:"apiKeys"`
	RatePerS *float64  `json:"ratePerS"`
	Burst    *float64  `json:"burst"`
}

// isPlainlyValid reports whether an item of a list certainly satisfies the schema's definition; false: it has to be checked against the schema.
func isPlainlyValid(field string, text rawJSON) bool {
	switch field {
	case fieldRoutes:
		return isValidPlainRoute(text)
	case fieldServices:
		var service plainService
		return decodePlain(text, &service) && isName(service.Name) && isNonNegative(service.MaxConnections)
	case fieldTenants:
		var tenant plainTenant
		return decodePlain(text, &tenant) && isName(tenant.Name) && isNonNegative(tenant.RatePerS) && isNonNegative(tenant.Burst)
	}
	return false
}

// decodePlain decodes an item. A null would look like an absent field. Duplicate names and numbers that are not an int64 are errors. Names in another case
// are unknown fields, as in the schema.
func decodePlain(text rawJSON, item any) bool {
	return !bytes.Contains(text, []byte("null")) && json.Unmarshal(text, item) == nil
}

// isName reports whether a name is present and not empty.
func isName(name *string) bool { return name != nil && *name != "" }

func hasPathPrefix(prefix *string) bool { return prefix != nil && strings.HasPrefix(*prefix, "/") }

func isRouteType(name *string) bool {
	return name != nil && (RouteType(*name) == Safe || RouteType(*name) == Unsafe || RouteType(*name) == Streaming)
}

// isNonNegative reports whether a number is absent, or 0 or more.
func isNonNegative[N int64 | float64](n *N) bool { return n == nil || *n >= 0 }

// areValidBackends reports whether a list of backends is absent, or each backend has a service and a weight of 0 or more.
func areValidBackends(backends *[]plainBackend) bool {
	if backends == nil {
		return true
	}
	for _, backend := range *backends {
		if !isName(backend.Service) || backend.Weight == nil || *backend.Weight < 0 {
			return false
		}
	}
	return true
}
