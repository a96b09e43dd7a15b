package config

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
)

// Table is a configuration indexed for the lookups that requests need. It is immutable. The tables in a router's status are others: those of
// package placement.
type Table struct {
	Document       *Document
	Version        int64
	Limits         Limits
	RequiresAPIKey bool // the configuration has tenants, so that requests carry keys of theirs

	routes       map[string]*Route
	services     map[string]*Service
	tenants      map[string]*Tenant
	routesByHost map[string][]*Route // longest prefix first
	tenantsByKey map[string]*Tenant
}

// NewTable decodes a document and validates what its items say of each other. Items that a previous table has decoded
// from the same text are shared with it; previous may be nil. An error is an InvalidError.
func NewTable(document *Document, previous *Table) (*Table, error) {
	t := &Table{
		Document: document, Version: document.version,
		routes: map[string]*Route{}, services: map[string]*Service{}, tenants: map[string]*Tenant{},
		routesByHost: map[string][]*Route{}, tenantsByKey: map[string]*Tenant{},
	}
	if previous == nil {
		previous = &Table{Document: EmptyDocument()}
	}
	if err := t.decode(previous); err != nil {
		return nil, err
	}
	if err := t.indexRoutes(); err != nil {
		return nil, err
	}
	if err := t.indexKeys(); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Table) decode(previous *Table) error {
	document, before := t.Document, previous.Document
	if err := decodeItems(document, before, fieldServices, previous.services, t.services); err != nil {
		return err
	}
	if err := decodeItems(document, before, fieldRoutes, previous.routes, t.routes); err != nil {
		return err
	}
	if err := decodeItems(document, before, fieldTenants, previous.tenants, t.tenants); err != nil {
		return err
	}
	text, given := document.fields[fieldLimits]
	if !given {
		return nil
	}
	if err := json.Unmarshal(text, &t.Limits); err != nil {
		return unreadable(fieldLimits, err)
	}
	return nil
}

// decodeItems decodes the items of one list into a map by name; those whose text is the same as before are taken from
// decoded, which belongs to that document.
func decodeItems[T any](document, before *Document, field string, decoded map[string]*T, into map[string]*T) error {
	items, previous := document.items(field), before.items(field)
	for _, name := range document.itemNames(field) {
		text := items[name]
		if item := decoded[name]; item != nil && bytes.Equal(previous[name], text) {
			into[name] = item
			continue
		}
		item := new(T)
		if err := json.Unmarshal(text, item); err != nil {
			return unreadable(field+" "+name, err)
		}
		into[name] = item
	}
	return nil
}

// indexRoutes validates routes and orders them for lookup. No two may have the same host and prefix.
func (t *Table) indexRoutes() error {
	type match struct{ host, prefix string }
	names := make(map[match]string, len(t.routes))
	for _, name := range sortedKeys(t.routes) {
		route := t.routes[name]
		if err := route.validate(t.services); err != nil {
			return err
		}
		key := match{route.Host, route.PathPrefix}
		if other, taken := names[key]; taken {
			return &InvalidError{Item: "route " + name, Reason: "has the host and prefix of " + other}
		}
		names[key] = name
		t.routesByHost[route.Host] = append(t.routesByHost[route.Host], route)
	}
	for _, routes := range t.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return nil
}

// indexKeys orders tenants by their API keys. No two may share one.
func (t *Table) indexKeys() error {
	t.RequiresAPIKey = len(t.tenants) > 0
	for _, name := range sortedKeys(t.tenants) {
		tenant := t.tenants[name]
		for _, key := range tenant.APIKeys {
			if other := t.tenantsByKey[key]; other != nil && other != tenant {
				return &InvalidError{Item: "tenant " + name, Reason: "shares a key with " + other.Name}
			}
			t.tenantsByKey[key] = tenant
		}
	}
	return nil
}

// Route returns the route of a request by its Host header and path: that of the longest prefix; nil: there is none.
func (t *Table) Route(host, path string) *Route {
	for _, route := range t.routesByHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// TenantByKey returns the tenant that owns an API key; nil: nobody does.
func (t *Table) TenantByKey(key string) *Tenant { return t.tenantsByKey[key] }

// TenantByName returns the tenant of that name; nil: there is none.
func (t *Table) TenantByName(name string) *Tenant { return t.tenants[name] }

// Service returns the service of that name; nil: there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns the names of all services, sorted.
func (t *Table) Services() []string { return sortedKeys(t.services) }
