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
func CheckSchema(document, previous *Document) error {
	var checker schemaChecker
	for field, definition := range itemDefinitions {
		items, unchanged := document.items(field), previous.items(field)
		for _, name := range document.itemNames(field) {
			if bytes.Equal(unchanged[name], items[name]) || isPlainlyValid(field, items[name]) {
				continue
			}
			if err := checker.check(definition, field+" "+name, items[name]); err != nil {
				return err
			}
		}
	}
	limits, present := document.fields[fieldLimits]
	if !present || bytes.Equal(limits, previous.fields[fieldLimits]) {
		return nil
	}
	return checker.check(limitsDefinition, fieldLimits, limits)
}

// maxContextBytes is the size of the items that are checked in one CUE context, which retains everything that was compiled in it: some 500 times as much.
const maxContextBytes = 16 << 10

// maxSchemaItemBytes is the size of the largest item that is checked by CUE. Items that are plainly valid may be larger.
const maxSchemaItemBytes = 32 << 10

// schemaChecker checks items against the schema. Its zero value is ready to use.
type schemaChecker struct {
	context *cue.Context
	schema  cue.Value
	checked int // bytes, in this context
}

// renew compiles the schema in a new context, so that the former one can be collected.
func (c *schemaChecker) renew() {
	c.context, c.checked = cuecontext.New(), 0
	c.schema = c.context.CompileString(schemaSource)
	if err := c.schema.Err(); err != nil {
		panic(err) // the embedded schema is invalid
	}
}

// check validates the JSON of an item against a definition of the schema. An error is an *InvalidError.
func (c *schemaChecker) check(definition, item string, text rawJSON) error {
	if c.context == nil || c.checked+len(text) > maxContextBytes {
		c.renew()
	}
	c.checked += len(text)
	if len(text) > maxSchemaItemBytes {
		return &InvalidError{Item: item, Reason: "is not plainly valid, and too large for a closer look"}
	}
	expression, err := cuejson.Extract(item, text)
	if err != nil {
		return unreadable(item, err)
	}
	value := c.schema.LookupPath(cue.ParsePath(definition)).Unify(c.context.BuildExpr(expression))
	if err := value.Validate(cue.Concrete(true)); err != nil {
		details := strings.Fields(errors.Details(err, nil))
		return &InvalidError{Item: item, Reason: "is invalid: " + strings.Join(details, " ")}
	}
	return nil
}
