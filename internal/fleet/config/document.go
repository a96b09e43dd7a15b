// Package config holds an operator's configuration: the document as it was sent, its changes, its checks, and the
// lookup of routes and keys that requests need.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/ansel1/merry/v2"
)

// Names of a document's fields that the package reads; others are kept as they came.
const (
	fieldVersion  = "version"
	fieldRoutes   = "routes"
	fieldServices = "services"
	fieldTenants  = "tenants"
	fieldLimits   = "limits"
)

// Document is a configuration as the operator sent it: raw JSON, with named items in their order. It is never changed;
// changes make a new one that shares what stayed.
type Document struct {
	version int64
	fields  map[string]json.RawMessage // those that are no list of named items
	lists   map[string]*itemList
}

// itemList is a list of items that have names.
type itemList struct {
	names []string
	items map[string]json.RawMessage
}

// EmptyDocument is what is in force before the first configuration: version 0.
func EmptyDocument() *Document {
	return &Document{fields: map[string]json.RawMessage{}, lists: map[string]*itemList{}}
}

// Version is the document's number; 0 is the empty one's.
func (d *Document) Version() int64 { return d.version }

// ParseDocument reads a whole configuration.
func ParseDocument(text []byte) (*Document, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, &InvalidError{Item: "configuration", Reason: "can't be read: " + err.Error()}
	}
	d := EmptyDocument()
	for name, value := range fields {
		if name == fieldVersion {
			continue
		}
		list, err := parseList(name, value)
		switch {
		case err != nil:
			return nil, err
		case list != nil:
			d.lists[name] = list
		default:
			d.fields[name] = bytes.Clone(value)
		}
	}
	var err error
	d.version, err = readVersion(fields[fieldVersion])
	return d, err
}

func readVersion(text json.RawMessage) (int64, error) {
	var version int64
	if err := json.Unmarshal(text, &version); err != nil {
		return 0, &InvalidError{Item: fieldVersion, Reason: "is missing or no whole number"}
	}
	return version, nil
}

// parseList reads a list of named items; nil is a value of another form, which is kept as it is.
func parseList(field string, value json.RawMessage) (*itemList, error) {
	known := field == fieldRoutes || field == fieldServices || field == fieldTenants
	var items []json.RawMessage
	if err := json.Unmarshal(value, &items); err != nil {
		if known {
			return nil, &InvalidError{Item: field, Reason: "is no list"}
		}
		return nil, nil
	}
	list := &itemList{items: make(map[string]json.RawMessage, len(items))}
	for _, item := range items {
		name, err := itemName(item)
		if err != nil && !known {
			return nil, nil
		}
		if err != nil {
			return nil, &InvalidError{Item: field, Reason: "holds an item without a name"}
		}
		if _, twice := list.items[name]; twice {
			return nil, &InvalidError{Item: field + " " + name, Reason: "stands twice"}
		}
		list.put(name, bytes.Clone(item))
	}
	return list, nil
}

func itemName(item json.RawMessage) (string, error) {
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(item, &named); err != nil {
		return "", merry.Prepend(err, "config: item")
	}
	if named.Name == "" {
		return "", errUnnamed
	}
	return named.Name, nil
}

func (l *itemList) put(name string, item json.RawMessage) {
	if _, known := l.items[name]; !known {
		l.names = append(l.names, name)
	}
	l.items[name] = item
}

func (l *itemList) remove(name string) {
	if _, known := l.items[name]; known {
		delete(l.items, name)
		l.names = slices.DeleteFunc(l.names, func(n string) bool { return n == name })
	}
}

func (l *itemList) clone() *itemList {
	if l == nil {
		return &itemList{items: map[string]json.RawMessage{}}
	}
	items := make(map[string]json.RawMessage, len(l.items))
	for name, item := range l.items {
		items[name] = item
	}
	return &itemList{names: slices.Clone(l.names), items: items}
}

// Patch is a change of named items, as the operator sends it.
type Patch struct {
	Version json.RawMessage            `json:"version"`
	Upsert  map[string]json.RawMessage `json:"upsert"`
	Remove  map[string][]string        `json:"remove"`
}

// ParsePatch reads a change.
func ParsePatch(text []byte) (*Patch, error) {
	var p Patch
	if err := json.Unmarshal(text, &p); err != nil {
		return nil, &InvalidError{Item: "change", Reason: "can't be read: " + err.Error()}
	}
	return &p, nil
}

// Apply returns the document with a change made to it.
func (d *Document) Apply(p *Patch) (*Document, error) {
	version, err := readVersion(p.Version)
	if err != nil {
		return nil, err
	}
	next := &Document{version: version, fields: map[string]json.RawMessage{}, lists: map[string]*itemList{}}
	for name, value := range d.fields {
		next.fields[name] = value
	}
	for name, list := range d.lists {
		next.lists[name] = list
	}
	for field, names := range p.Remove {
		list := next.lists[field].clone()
		for _, name := range names {
			list.remove(name)
		}
		next.lists[field] = list
	}
	for field, value := range p.Upsert {
		if err := next.upsert(field, value); err != nil {
			return nil, err
		}
	}
	return next, nil
}

func (d *Document) upsert(field string, value json.RawMessage) error {
	changed, err := parseList(field, value)
	if err != nil {
		return err
	}
	if changed == nil {
		d.fields[field] = bytes.Clone(value)
		return nil
	}
	list := d.lists[field].clone()
	for _, name := range changed.names {
		list.put(name, changed.items[name])
	}
	d.lists[field] = list
	return nil
}

// Encode writes the document as JSON.
func (d *Document) Encode() []byte {
	out := fmt.Appendf(nil, `{"version":%d`, d.version)
	for _, name := range sortedKeys(d.fields) {
		out = appendName(out, name)
		out = append(out, d.fields[name]...)
	}
	for _, name := range sortedKeys(d.lists) {
		out = appendName(out, name)
		out = d.lists[name].encode(out)
	}
	return append(out, '}')
}

func appendName(out []byte, name string) []byte {
	quoted, _ := json.Marshal(name) // a string always can be
	out = append(out, ',')
	out = append(out, quoted...)
	return append(out, ':')
}

func (l *itemList) encode(out []byte) []byte {
	out = append(out, '[')
	for i, name := range l.names {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, l.items[name]...)
	}
	return append(out, ']')
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
