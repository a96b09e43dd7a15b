package version

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// MaxOrderBytes bounds an order's JSON.
const MaxOrderBytes = 4 << 10

// wireOrder is an order with its digests as strings, so that an error in one can name its key.
type wireOrder struct {
	Floor struct {
		MinimumVersion
		List     string `json:"list"`
		Settings string `json:"settings"`
		File     string `json:"file"`
	} `json:"floor"`
	Ticket *Permit `json:"ticket"`
}

// ParseOrder decodes an order's JSON, strictly: unknown keys are errors. Errors are of type KeyError; for a text that isn't a
// single JSON object the key is "JSON".
func ParseOrder(text []byte) (Order, error) {
	if len(text) > MaxOrderBytes {
		return Order{}, KeyError{"JSON", fmt.Sprintf("has %d bytes, %d at most", len(text), MaxOrderBytes)}
	}
	var w wireOrder
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&w); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) && typeErr.Field != "" {
			return Order{}, KeyError{strings.ReplaceAll(typeErr.Field, ".MinimumVersion.", "."), "is no " + typeErr.Type.String()}
		}
		if quoted, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
			if key, err := strconv.Unquote(quoted); err == nil && key != "" {
				return Order{}, KeyError{key, "is not known"}
			}
		}
		return Order{}, KeyError{"JSON", err.Error()}
	}
	if _, err := d.Token(); err != io.EOF {
		return Order{}, KeyError{"JSON", "goes on after the order"}
	}
	o := Order{Minimum: w.Floor.MinimumVersion, Permit: w.Ticket}
	for _, one := range []struct {
		key, text string
		to        *Digest
	}{{"floor.list", w.Floor.List, &o.Minimum.List}, {"floor.settings", w.Floor.Settings, &o.Minimum.Settings},
		{"floor.file", w.Floor.File, &o.Minimum.File}} {
		if err := one.to.UnmarshalText([]byte(one.text)); err != nil {
			return Order{}, KeyError{one.key, err.Error()}
		}
	}
	return o, o.Check()
}
