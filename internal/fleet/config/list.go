package config

import (
	"bytes"
	"maps"
	"slices"
)

// itemList is a list of JSON objects with unique names, in the operator's order.
type itemList struct {
	names []string
	items map[string]rawJSON
}

// isItemField reports whether a field of a document must be a list of named items.
func isItemField(field string) bool {
	return field == fieldRoutes || field == fieldServices || field == fieldTenants
}

// parseList decodes the value of a field as a list of named items. If the value is not such a list, isList is false for a
// field that this package does not interpret, and err is an *InvalidError for the others. A duplicate name is always an
// *InvalidError.
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
		pace.pauseAfter(i)
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

// itemName returns an item's name; empty: it has none, or is not a JSON object.
func itemName(item rawJSON) string {
	var named struct {
		Name string `json:"name"`
	}
	if err := decodeJSON(item, &named); err != nil {
		return ""
	}
	return named.Name
}

// put replaces the item that has this name, in its position, or appends the item.
func (l *itemList) put(name string, item rawJSON) {
	if _, exists := l.items[name]; !exists {
		l.names = append(l.names, name)
	}
	l.items[name] = item
}

// remove removes the items with these names. It ignores names that are not in the list.
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

// clone returns a copy that may be modified. The clone of nil is an empty list.
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
