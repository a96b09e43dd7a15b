package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	cuejson "cuelang.org/go/encoding/json"
)

//go:embed schema.cue
var schemaSource string

// definitions are the schema's, by the list whose items they check.
var definitions = map[string]string{fieldRoutes: "#Route", fieldServices: "#Service", fieldTenants: "#Tenant"}

// CheckSchema checks a document's items against the schema, except those that a former document holds too. An error is
// an InvalidError that names the item.
//
// A context of its own is made for each call, since contexts keep all that they have compiled.
func CheckSchema(document, former *Document) error {
	context := cuecontext.New()
	schema := context.CompileString(schemaSource)
	if err := schema.Err(); err != nil {
		panic(err) // the embedded schema itself is faulty
	}
	for field, definition := range definitions {
		list := document.lists[field]
		if list == nil {
			continue
		}
		var old map[string]json.RawMessage
		if before := former.lists[field]; before != nil {
			old = before.items
		}
		rule := schema.LookupPath(cue.ParsePath(definition))
		for _, name := range list.names {
			if bytes.Equal(old[name], list.items[name]) {
				continue
			}
			if err := checkItem(context, rule, field+" "+name, list.items[name]); err != nil {
				return err
			}
		}
	}
	limits, given := document.fields[fieldLimits]
	if !given || bytes.Equal(limits, former.fields[fieldLimits]) {
		return nil
	}
	return checkItem(context, schema.LookupPath(cue.ParsePath("#Limits")), fieldLimits, limits)
}

func checkItem(context *cue.Context, rule cue.Value, item string, text json.RawMessage) error {
	expression, err := cuejson.Extract(item, text)
	if err != nil {
		return &InvalidError{Item: item, Reason: "can't be read: " + err.Error()}
	}
	value := rule.Unify(context.BuildExpr(expression))
	if err := value.Validate(cue.Concrete(true)); err != nil {
		reason := strings.TrimSpace(errors.Details(err, nil))
		return &InvalidError{Item: item, Reason: "is invalid: " + strings.Join(strings.Fields(reason), " ")}
	}
	return nil
}
