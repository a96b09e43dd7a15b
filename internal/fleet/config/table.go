package config

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Table is a configuration that is indexed for the lookups that requests need. It is immutable. It is unrelated to the tables
// in a router's status, which belong to package placement.
type Table struct {
	Document *Document
	Version  int64
	Limits   Limits

	routes       map[string]*Route
	services     map[string]*Service
	tenants      map[string]*Tenant
	routesByHost map[string][]*Route // by hostKey, longest prefix first
	tenantsByKey map[string]*Tenant
}

// NewTable decodes a document's items and limits, and validates routes, references between items, and uniqueness. Items whose
// text has not changed since a previous table are shared with that table, and so are the indexes of hosts whose routes have not
// changed: a small change of a large configuration is cheap. previous may be nil. An error is an *InvalidError.
func NewTable(document *Document, previous *Table) (*Table, error) {
	return NewTablePaced(document, previous, nil)
}

// NewTablePaced is NewTable with pauses by pace.
func NewTablePaced(document *Document, previous *Table, pace Pace) (*Table, error) {
	t := &Table{Document: document, Version: document.version}
	if previous == nil {
		previous = &Table{Document: EmptyDocument()}
	}
	previousDocument := previous.Document
	services, err := decodeItems(document, previousDocument, fieldServices, previous.services, pace)
	if err != nil {
		return nil, err
	}
	routes, err := decodeItems(document, previousDocument, fieldRoutes, previous.routes, pace)
	if err != nil {
		return nil, err
	}
	tenants, err := decodeItems(document, previousDocument, fieldTenants, previous.tenants, pace)
	if err != nil {
		return nil, err
	}
	t.services, t.routes, t.tenants = services.items, routes.items, tenants.items
	if err := t.decodeLimits(); err != nil {
		return nil, err
	}
	if err := t.validateRoutes(routes.changed, len(services.removed) > 0); err != nil {
		return nil, err
	}
	if err := t.indexRoutes(previous, routes); err != nil {
		return nil, err
	}
	if err := t.indexKeys(); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Table) decodeLimits() error {
	text, present := t.Document.fields[fieldLimits]
	if !present {
		return nil
	}
	if err := decodeJSON(text, &t.Limits); err != nil {
		return unreadable(fieldLimits, err)
	}
	return nil
}

// decodedItems holds the items of one list, and how they differ from those of a previous document.
type decodedItems[T any] struct {
	items   map[string]*T
	changed []string // names of items that are new or whose text differs, in the document's order
	removed []string // names of items that only the previous document has
}

// decodeItems decodes the items of one list. Items whose text is the same in previousDocument are taken from decoded, which
// holds the decoded items of that document.
func decodeItems[T any](document, previousDocument *Document, field string, decoded map[string]*T, pace Pace) (decodedItems[T], error) {
	items, previous := document.items(field), previousDocument.items(field)
	result := decodedItems[T]{items: maps.Clone(decoded)}
	if result.items == nil {
		result.items = make(map[string]*T, len(items))
	}
	for _, name := range document.itemNames(field) {
		text := items[name]
		if previousText, found := previous[name]; found && sameText(previousText, text) {
			continue
		}
		pace.pauseAfter(len(result.changed))
		item := new(T)
		if err := decodeJSON(text, item); err != nil {
			return result, unreadable(field+" "+name, err)
		}
		result.items[name] = item
		result.changed = append(result.changed, name)
	}
	if len(result.items) == len(items) {
		return result, nil
	}
	for name := range result.items {
		if _, present := items[name]; !present {
			delete(result.items, name)
			result.removed = append(result.removed, name)
		}
	}
	return result, nil
}

// sameText reports whether two texts are equal. A document shares the texts of unchanged items with the document that it was
// derived from, so comparing addresses is usually enough.
func sameText(a, b rawJSON) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0] || bytes.Equal(a, b))
}

// validateRoutes validates each changed route, or every route if services were removed, which any route may name.
func (t *Table) validateRoutes(changed []string, servicesRemoved bool) error {
	names := changed
	if servicesRemoved {
		names = t.Document.itemNames(fieldRoutes)
	}
	for _, name := range names {
		if err := t.routes[name].validate(t.services); err != nil {
			return err
		}
	}
	return nil
}

// indexRoutes indexes the routes by host. It shares the index of a previous table, except for hosts whose routes differ. Two
// routes with the same host and path prefix are an *InvalidError.
func (t *Table) indexRoutes(previous *Table, routes decodedItems[Route]) error {
	added := map[string][]*Route{} // new and changed routes by host, with an entry for every host whose routes differ
	for _, name := range slices.Concat(routes.changed, routes.removed) {
		if previousRoute := previous.routes[name]; previousRoute != nil && added[hostKey(previousRoute.Host)] == nil {
			added[hostKey(previousRoute.Host)] = []*Route{}
		}
		if route := t.routes[name]; route != nil {
			added[hostKey(route.Host)] = append(added[hostKey(route.Host)], route)
		}
	}
	t.routesByHost = maps.Clone(previous.routesByHost)
	if t.routesByHost == nil {
		t.routesByHost = map[string][]*Route{}
	}
	for _, host := range sortedKeys(added) {
		if err := t.indexHost(host, added[host]); err != nil {
			return err
		}
	}
	return nil
}

// hostKey returns the form in which hosts are compared: their case does not matter (RFC 9110, section 4.2.3).
func hostKey(host string) string { return strings.ToLower(host) }

// indexHost rebuilds the index of one host, given by its hostKey: it drops the routes that are no longer in the table, and adds those in added.
func (t *Table) indexHost(host string, added []*Route) error {
	var routes []*Route
	for _, route := range t.routesByHost[host] {
		if t.routes[route.Name] == route {
			routes = append(routes, route)
		}
	}
	routes = append(routes, added...)
	if len(routes) == 0 {
		delete(t.routesByHost, host)
		return nil
	}
	slices.SortFunc(routes, byPrefix)
	for i := 1; i < len(routes); i++ {
		if routes[i].PathPrefix == routes[i-1].PathPrefix {
			return &InvalidError{Item: "route " + routes[i].Name, Reason: "has the host and prefix of " + routes[i-1].Name}
		}
	}
	t.routesByHost[host] = routes
	return nil
}

// byPrefix compares routes of one host: the longest prefix sorts first.
func byPrefix(a, b *Route) int {
	return cmp.Or(len(b.PathPrefix)-len(a.PathPrefix), strings.Compare(a.PathPrefix, b.PathPrefix), strings.Compare(a.Name, b.Name))
}

// indexKeys indexes the tenants by their API keys. A key of two tenants is an *InvalidError.
func (t *Table) indexKeys() error {
	t.tenantsByKey = map[string]*Tenant{}
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

// Route returns the route of a request with this Host header and path: that with the longest matching prefix; nil: none.
func (t *Table) Route(host, path string) *Route {
	for _, route := range t.routesByHost[hostKey(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Authorize decides whether a request with an API key, or with none if key is empty, may use a route. The tenant is that of the key; nil
// on a public route, and for a request without a key where none is required. A key that no tenant holds is never accepted.
func (t *Table) Authorize(route *Route, key string) (tenant *Tenant, ok bool) {
	switch {
	case route.Public:
		return nil, true
	case key == "":
		return nil, !t.Document.keyPolicy.RequiresKey()
	}
	tenant = t.tenantsByKey[key]
	return tenant, tenant != nil
}

// TenantByName returns the tenant with that name; nil: none.
func (t *Table) TenantByName(name string) *Tenant { return t.tenants[name] }

// Service returns the service with that name; nil: none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns the names of all services, sorted.
func (t *Table) Services() []string { return sortedKeys(t.services) }
