// Package config is the operator's configuration: the Document as it was sent, the Change and Patch that alter it, the
// replicated State, the validation of it, and the Table that requests are looked up in.
//
// It is pure: no I/O and no clock. All values but a Change being built are immutable, so that any goroutine may share them.
// Field names of the JSON form and numbers of the CBOR form are stored and sent: they never change. Fields that the package
// does not know are preserved.
package config

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
)

// Names of a document's fields that this package interprets; others are preserved as they came.
const (
	fieldVersion  = "version"
	fieldRoutes   = "routes"
	fieldServices = "services"
	fieldTenants  = "tenants"
	fieldLimits   = "limits"
)

// Document is a configuration as the operator sent it: raw JSON, with named items in their order. It is immutable;
// Apply returns a new one that shares what is unchanged.
type Document struct {
	version int64
	fields  map[string]rawJSON // those that are no list of named items
	lists   map[string]*itemList
}

// EmptyDocument returns what is in force before the first configuration: version 0.
func EmptyDocument() *Document {
	return &Document{fields: map[string]rawJSON{}, lists: map[string]*itemList{}}
}

// Version returns the document's number, which the operator chose; 0 is that of the empty one.
func (d *Document) Version() int64 { return d.version }

// ParseDocument decodes a complete configuration from JSON. An error is an InvalidError. Items are decoded no further
// than their names: NewTable and CheckSchema check the rest.
func ParseDocument(text []byte) (*Document, error) { return ParseDocumentPaced(text, nil) }

// ParseDocumentPaced is ParseDocument, with pauses.
func ParseDocumentPaced(text []byte, pace Pace) (*Document, error) {
	var fields map[string]rawJSON
	if err := decodeJSON(text, &fields); err != nil {
		return nil, unreadable("configuration", err)
	}
	d := EmptyDocument()
	for name, value := range fields {
		if name == fieldVersion {
			continue
		}
		list, isList, err := parseList(name, value, pace)
		switch {
		case err != nil:
			return nil, err
		case isList:
			d.lists[name] = list
		default:
			d.fields[name] = bytes.Clone(value)
		}
	}
	var err error
	d.version, err = parseVersion(fields[fieldVersion])
	return d, err
}

func parseVersion(text rawJSON) (int64, error) {
	var version int64
	if err := decodeJSON(text, &version); err != nil {
		return 0, &InvalidError{Item: fieldVersion, Reason: "is missing or no whole number"}
	}
	return version, nil
}

// items returns the items of a list by name; nil where the document has no such list.
func (d *Document) items(field string) map[string]rawJSON {
	list := d.lists[field]
	if list == nil {
		return nil
	}
	return list.items
}

// itemNames returns the names of a list's items in their order.
func (d *Document) itemNames(field string) []string {
	list := d.lists[field]
	if list == nil {
		return nil
	}
	return list.names
}

// Encode returns the document as JSON. Equal documents have equal encodings: fields and lists are sorted by name.
func (d *Document) Encode() []byte {
	out := fmt.Appendf(nil, `{"version":%d`, d.version)
	for _, name := range sortedKeys(d.fields) {
		out = appendFieldName(out, name)
		out = append(out, d.fields[name]...)
	}
	for _, name := range sortedKeys(d.lists) {
		out = appendFieldName(out, name)
		out = d.lists[name].appendJSON(out)
	}
	return append(out, '}')
}

func appendFieldName(out []byte, name string) []byte {
	quoted := quoteJSON(name)
	out = append(out, ',')
	out = append(out, quoted...)
	return append(out, ':')
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
