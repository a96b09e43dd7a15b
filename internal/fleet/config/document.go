// Package config defines the operator's configuration: the Document as it was sent, the Change and Patch that modify it, the
// replicated State, validation, and the Table in which the routes, services and tenants of requests are looked up.
//
// The package is pure: no I/O and no clock. All values are immutable and may be shared between goroutines, except for a Change
// that is being built. Names of JSON fields and numbers of CBOR fields never change, since they are stored and sent. Unknown
// fields are preserved.
package config

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
)

// Names of a document's fields that this package interprets; others are preserved as they were sent.
const (
	fieldVersion  = "version"
	fieldRoutes   = "routes"
	fieldServices = "services"
	fieldTenants  = "tenants"
	fieldLimits   = "limits"
)

// Document is a configuration as the operator sent it: raw JSON, with the lists of named items in the operator's order. It is
// immutable; Apply returns a new document that shares all unchanged parts with this one.
type Document struct {
	version   int64
	fields    map[string]rawJSON // all but the version and the lists of named items
	lists     map[string]*itemList
	keyPolicy KeyPolicy // follows from this document and those before it, and is not part of its JSON
}

// EmptyDocument returns the document that is in force before the first configuration: version 0, without any fields.
func EmptyDocument() *Document {
	return &Document{fields: map[string]rawJSON{}, lists: map[string]*itemList{}, keyPolicy: KeysOptional}
}

// KeyPolicy returns whether requests need an API key.
func (d *Document) KeyPolicy() KeyPolicy { return d.keyPolicy }

// Version returns the document's version, which the operator chose; that of the empty document is 0.
func (d *Document) Version() int64 { return d.version }

// ParseDocument decodes a complete configuration from JSON, which follows no other. Of each item it decodes only the name: NewTable and
// CheckSchema validate the rest. An error is an *InvalidError.
func ParseDocument(text []byte) (*Document, error) {
	return ParseDocumentAfter(KeysOptional, text, nil)
}

// ParseDocumentAfter is ParseDocument for a configuration that follows another one, whose key policy is previous, with pauses by pace. For
// a document that was encoded and sent with its own policy, that is previous.
func ParseDocumentAfter(previous KeyPolicy, text []byte, pace Pace) (*Document, error) {
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
	d.keyPolicy = nextKeyPolicy(previous, d.lists[fieldTenants])
	var err error
	d.version, err = parseVersion(fields[fieldVersion])
	return d, err
}

// parseVersion decodes the value of the version field. An error is an *InvalidError.
func parseVersion(text rawJSON) (int64, error) {
	var version int64
	if err := decodeJSON(text, &version); err != nil {
		return 0, &InvalidError{Item: fieldVersion, Reason: "is missing or no whole number"}
	}
	return version, nil
}

// items returns the items of a list by name; nil if the document has no such list.
func (d *Document) items(field string) map[string]rawJSON {
	list := d.lists[field]
	if list == nil {
		return nil
	}
	return list.items
}

// itemNames returns the names of a list's items in the operator's order; nil if the document has no such list.
func (d *Document) itemNames(field string) []string {
	list := d.lists[field]
	if list == nil {
		return nil
	}
	return list.names
}

// Encode returns the document as JSON. Equal documents have equal encodings: the version comes first, then the other fields
// sorted by name, then the lists sorted by name.
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
