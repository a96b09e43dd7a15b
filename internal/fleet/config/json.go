package config

import (
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	jsonv1 "github.com/go-json-experiment/json/v1"
)

// rawJSON is the text of one JSON value as it was sent.
type rawJSON = jsontext.Value

// jsonOptions give JSON the meaning that encoding/json gives it: former builds read stored configurations that way.
var jsonOptions = json.JoinOptions(jsonv1.DefaultOptionsV1())

// decodeJSON decodes a JSON text as encoding/json does, in one pass: large changes are decoded by routers with a tenth of a processor.
func decodeJSON(text []byte, into any) error { return json.Unmarshal(text, into, jsonOptions) }

// quoteJSON returns the JSON form of a string.
func quoteJSON(s string) []byte {
	quoted, _ := json.Marshal(s, jsonOptions) // can't fail: every string has a JSON form
	return quoted
}
