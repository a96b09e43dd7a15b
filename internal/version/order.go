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

// OrderMost is how long an order's JSON may be, in bytes.
const OrderMost = 4 << 10

// wire is an order with its digests as texts, so that a fault in one can be told by its key.
type wire struct {
	Floor struct {
		Floor
		List     string `json:"list"`
		Settings string `json:"settings"`
		File     string `json:"file"`
	} `json:"floor"`
	Ticket *Ticket `json:"ticket"`
}

// ParseOrder reads an order's JSON, strictly: unknown keys are faults. Errors are of type FaultyKey and name the key; that of a text
// that is no single JSON object is "JSON".
func ParseOrder(text []byte) (Order, error) {
	if len(text) > OrderMost {
		return Order{}, FaultyKey{"JSON", fmt.Sprintf("has %d bytes, %d at most", len(text), OrderMost)}
	}
	var w wire
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&w); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) && kind.Field != "" {
			return Order{}, FaultyKey{strings.ReplaceAll(kind.Field, ".Floor.", "."), "is no " + kind.Type.String()}
		}
		if quoted, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
			if key, err := strconv.Unquote(quoted); err == nil && key != "" {
				return Order{}, FaultyKey{key, "is not known"}
			}
		}
		return Order{}, FaultyKey{"JSON", err.Error()}
	}
	if _, err := d.Token(); err != io.EOF {
		return Order{}, FaultyKey{"JSON", "goes on after the order"}
	}
	o := Order{Floor: w.Floor.Floor, Ticket: w.Ticket}
	for _, one := range []struct {
		key, text string
		to        *Digest
	}{{"floor.list", w.Floor.List, &o.Floor.List}, {"floor.settings", w.Floor.Settings, &o.Floor.Settings},
		{"floor.file", w.Floor.File, &o.Floor.File}} {
		if err := one.to.UnmarshalText([]byte(one.text)); err != nil {
			return Order{}, FaultyKey{one.key, err.Error()}
		}
	}
	return o, o.Check()
}
