package config

import (
	"bytes"
	_ "embed"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	cuejson "cuelang.org/go/encoding/json"
)

//go:embed schema.cue
var schemaSource string

// itemDefinitions maps each list's field to the schema's definition of its items.
var itemDefinitions = map[string]string{fieldRoutes: "#Route", fieldServices: "#Service", fieldTenants: "#Tenant"}

const limitsDefinition = "#Limits"

// CheckSchema validates a document's items and limits against the CUE schema, except those that are the same in a previous
// document. An error is an *InvalidError that names the item.
//
// Each call compiles the schema in a new context, since a CUE context retains everything that was compiled in it.
func CheckSchema(document, previous *Document) error {
	context := cuecontext.New()
	schema := context.CompileString(schemaSource)
	if err := schema.Err(); err != nil {
		panic(err) // the embedded schema is invalid
	}
	for field, definition := range itemDefinitions {
		rule := schema.LookupPath(cue.ParsePath(definition))
		items, unchanged := document.items(field), previous.items(field)
		for _, name := range document.itemNames(field) {
			if bytes.Equal(unchanged[name], items[name]) || field == fieldRoutes && isValidPlainRoute(items[name]) {
				continue
			}
			if err := checkItem(context, rule, field+" "+name, items[name]); err != nil {
				return err
			}
		}
	}
	limits, present := document.fields[fieldLimits]
	if !present || bytes.Equal(limits, previous.fields[fieldLimits]) {
		return nil
	}
	return checkItem(context, schema.LookupPath(cue.ParsePath(limitsDefinition)), fieldLimits, limits)
}

// checkItem validates the JSON of an item against a definition of the schema. An error is an *InvalidError.
func checkItem(context *cue.Context, rule cue.Value, item string, text rawJSON) error {
	expression, err := cuejson.Extract(item, text)
	if err != nil {
		return unreadable(item, err)
	}
	value := rule.Unify(context.BuildExpr(expression))
	if err := value.Validate(cue.Concrete(true)); err != nil {
		details := strings.Fields(errors.Details(err, nil))
		return &InvalidError{Item: item, Reason: "is invalid: " + strings.Join(details, " ")}
	}
	return nil
}
