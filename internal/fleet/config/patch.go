package config

import (
	"bytes"
	"maps"
)

// Patch is a change of named items and of other fields, as the operator sends it.
type Patch struct {
	Version rawJSON             `json:"version"` // of the resulting document
	Upsert  map[string]rawJSON  `json:"upsert"`  // by field: items to insert or replace, or the field's new value
	Remove  map[string][]string `json:"remove"`  // by field: names of the items to remove
}

// ParsePatch decodes a patch from JSON. An error is an *InvalidError.
func ParsePatch(text []byte) (*Patch, error) {
	var p Patch
	if err := decodeJSON(text, &p); err != nil {
		return nil, unreadable("change", err)
	}
	return &p, nil
}

// Apply returns the document that results from a patch: removals come first, then upserts. An error is an *InvalidError.
func (d *Document) Apply(p *Patch) (*Document, error) { return d.ApplyPaced(p, nil) }

// ApplyPaced is Apply with pauses by pace.
func (d *Document) ApplyPaced(p *Patch, pace Pace) (*Document, error) {
	version, err := parseVersion(p.Version)
	if err != nil {
		return nil, err
	}
	next := &Document{version: version, fields: maps.Clone(d.fields), lists: maps.Clone(d.lists)}
	for field, names := range p.Remove {
		list := next.lists[field].clone()
		list.remove(names)
		next.lists[field] = list
	}
	for field, value := range p.Upsert {
		if err := next.upsert(field, value, pace); err != nil {
			return nil, err
		}
	}
	next.keyPolicy = nextKeyPolicy(d.keyPolicy, next.lists[fieldTenants])
	return next, nil
}

// upsert inserts or replaces the items in value, or sets the field to it if it is not a list of named items. It modifies the
// document, but none of its lists.
func (d *Document) upsert(field string, value rawJSON, pace Pace) error {
	changed, isList, err := parseList(field, value, pace)
	if err != nil {
		return err
	}
	if !isList {
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
