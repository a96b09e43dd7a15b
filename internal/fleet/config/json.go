package config

import (
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	jsonv1 "github.com/go-json-experiment/json/v1"
)

// rawJSON is the undecoded text of one JSON value, as it was sent.
type rawJSON = jsontext.Value

// jsonOptions select the semantics of encoding/json, with which earlier builds decoded stored configurations.
var jsonOptions = json.JoinOptions(jsonv1.DefaultOptionsV1())

// decodeJSON decodes a JSON text with the semantics of encoding/json, but in one pass: routers that have only a tenth of a
// processor decode large changes.
func decodeJSON(text []byte, into any) error { return json.Unmarshal(text, into, jsonOptions) }

// quoteJSON returns the JSON form of a string.
func quoteJSON(s string) []byte {
	quoted, _ := json.Marshal(s, jsonOptions) // can't fail: every string has a JSON form
	return quoted
}
