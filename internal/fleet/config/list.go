package config

import (
	"bytes"
	"maps"
	"slices"
)

// itemList is a list of JSON objects that each have a unique name, in the operator's order.
type itemList struct {
	names []string
	items map[string]rawJSON
}

// isItemField reports whether a field of a document has to be a list of named items.
func isItemField(field string) bool {
	return field == fieldRoutes || field == fieldServices || field == fieldTenants
}

// parseList decodes the value of a field that is a list of named items. Where an unknown field's value is anything else,
// isList is false; that of a known field, or one with a name twice, is an InvalidError.
func parseList(field string, value rawJSON, pace Pace) (list *itemList, isList bool, err error) {
	required := isItemField(field)
	var items []rawJSON
	if err := decodeJSON(value, &items); err != nil {
		if required {
			return nil, false, &InvalidError{Item: field, Reason: "is no list"}
		}
		return nil, false, nil
	}
	list = &itemList{items: make(map[string]rawJSON, len(items))}
	for i, item := range items {
		pace.after(i)
		name := itemName(item)
		if name == "" && required {
			return nil, false, &InvalidError{Item: field, Reason: "holds an item without a name"}
		}
		if name == "" {
			return nil, false, nil
		}
		if _, duplicate := list.items[name]; duplicate {
			return nil, false, &InvalidError{Item: field + " " + name, Reason: "stands twice"}
		}
		list.put(name, bytes.Clone(item))
	}
	return list, true, nil
}

// itemName returns an item's name; empty: it has none, or is no JSON object.
func itemName(item rawJSON) string {
	var named struct {
		Name string `json:"name"`
	}
	if err := decodeJSON(item, &named); err != nil {
		return ""
	}
	return named.Name
}

// put replaces the item of that name in its place, or appends it.
func (l *itemList) put(name string, item rawJSON) {
	if _, known := l.items[name]; !known {
		l.names = append(l.names, name)
	}
	l.items[name] = item
}

// remove removes the items with these names; those that are not in the list are passed over.
func (l *itemList) remove(names []string) {
	before := len(l.items)
	for _, name := range names {
		delete(l.items, name)
	}
	if len(l.items) == before {
		return
	}
	l.names = slices.DeleteFunc(l.names, func(name string) bool {
		_, present := l.items[name]
		return !present
	})
}

// clone returns a copy that may be changed; that of nil is an empty list.
func (l *itemList) clone() *itemList {
	if l == nil {
		return &itemList{items: map[string]rawJSON{}}
	}
	return &itemList{names: slices.Clone(l.names), items: maps.Clone(l.items)}
}

// appendJSON appends the list as a JSON array.
func (l *itemList) appendJSON(out []byte) []byte {
	out = append(out, '[')
	for i, name := range l.names {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, l.items[name]...)
	}
	return append(out, ']')
}
