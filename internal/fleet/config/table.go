package config

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
)

// Table is a configuration in the form that requests need. It is never changed.
type Table struct {
	Document       *Document
	Version        int64
	Limits         Limits
	RequiresAPIKey bool // the configuration has tenants, so that requests carry keys

	routes   map[string]*Route
	services map[string]*Service
	tenants  map[string]*Tenant
	hosts    map[string][]*Route // longest prefix first
	keys     map[string]*Tenant
}

// NewTable reads and checks a document. What a former table holds of the same items is taken over; nil is none. An
// error is an InvalidError.
func NewTable(document *Document, former *Table) (*Table, error) {
	t := &Table{
		Document: document, Version: document.version,
		routes: map[string]*Route{}, services: map[string]*Service{}, tenants: map[string]*Tenant{},
		hosts: map[string][]*Route{}, keys: map[string]*Tenant{},
	}
	if former == nil {
		former = &Table{Document: EmptyDocument()}
	}
	if err := readItems(document, former.Document, fieldServices, former.services, t.services); err != nil {
		return nil, err
	}
	if err := readItems(document, former.Document, fieldRoutes, former.routes, t.routes); err != nil {
		return nil, err
	}
	if err := readItems(document, former.Document, fieldTenants, former.tenants, t.tenants); err != nil {
		return nil, err
	}
	if text, given := document.fields[fieldLimits]; given {
		if err := json.Unmarshal(text, &t.Limits); err != nil {
			return nil, &InvalidError{Item: fieldLimits, Reason: "can't be read: " + err.Error()}
		}
	}
	if err := t.index(); err != nil {
		return nil, err
	}
	return t, nil
}

// readItems reads the items of one list; those that are the same as before are not read again.
func readItems[T any](document, before *Document, field string, known map[string]*T, into map[string]*T) error {
	list := document.lists[field]
	if list == nil {
		return nil
	}
	var old map[string]json.RawMessage
	if former := before.lists[field]; former != nil {
		old = former.items
	}
	for _, name := range list.names {
		text := list.items[name]
		if item := known[name]; item != nil && bytes.Equal(old[name], text) {
			into[name] = item
			continue
		}
		item := new(T)
		if err := json.Unmarshal(text, item); err != nil {
			return &InvalidError{Item: field + " " + name, Reason: "can't be read: " + err.Error()}
		}
		into[name] = item
	}
	return nil
}

// index orders routes and keys for lookup, and checks what stands between items.
func (t *Table) index() error {
	type place struct{ host, prefix string }
	places := make(map[place]string, len(t.routes))
	for _, name := range sortedKeys(t.routes) {
		route := t.routes[name]
		if err := t.checkRoute(route); err != nil {
			return err
		}
		at := place{route.Host, route.PathPrefix}
		if other, taken := places[at]; taken {
			return &InvalidError{Item: "route " + name, Reason: "has the host and prefix of " + other}
		}
		places[at] = name
		t.hosts[route.Host] = append(t.hosts[route.Host], route)
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t.indexKeys()
}

func (t *Table) indexKeys() error {
	t.RequiresAPIKey = len(t.tenants) > 0
	for _, name := range sortedKeys(t.tenants) {
		tenant := t.tenants[name]
		for _, key := range tenant.APIKeys {
			if other := t.keys[key]; other != nil && other != tenant {
				return &InvalidError{Item: "tenant " + name, Reason: "shares a key with " + other.Name}
			}
			t.keys[key] = tenant
		}
	}
	return nil
}

func (t *Table) checkRoute(route *Route) error {
	item := "route " + route.Name
	if route.TimeoutMs <= 0 {
		return &InvalidError{Item: item, Reason: "has no timeoutMs above 0"}
	}
	sum := 0.0
	for _, backend := range route.backends() {
		if t.services[backend.Service] == nil {
			return &InvalidError{Item: item, Reason: "names the unknown service " + backend.Service}
		}
		if backend.Weight < 0 {
			return &InvalidError{Item: item, Reason: "has a weight below 0"}
		}
		sum += backend.Weight
	}
	if sum <= 0 {
		return &InvalidError{Item: item, Reason: "has weights that sum to 0"}
	}
	return nil
}

// Route is the route of a request, by its Host header and path; nil where there is none.
func (t *Table) Route(host, path string) *Route {
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// TenantByKey is the holder of a key; nil where there is none.
func (t *Table) TenantByKey(key string) *Tenant { return t.keys[key] }

// TenantByName is the tenant of that name; nil where there is none.
func (t *Table) TenantByName(name string) *Tenant { return t.tenants[name] }

// Service is the service of that name; nil where there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services are the names of all services, sorted.
func (t *Table) Services() []string { return sortedKeys(t.services) }

// PickService chooses the service of a request; draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	backends := r.backends()
	sum := 0.0
	for _, backend := range backends {
		sum += backend.Weight
	}
	left := draw * sum
	for _, backend := range backends {
		if left -= backend.Weight; left < 0 && backend.Weight > 0 {
			return backend.Service
		}
	}
	for _, backend := range backends { // rounding
		if backend.Weight > 0 {
			return backend.Service
		}
	}
	return r.Service
}
