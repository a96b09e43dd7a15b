package settingsstore

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"pinelb.example/pinelb/internal/version"
)

// KeyError says what is wrong with a message, and at which key of its JSON or its query.
type KeyError struct{ Key, Reason string }

func (e KeyError) Error() string { return fmt.Sprintf("distribute: %s %s", e.Key, e.Reason) }

// decodeStrict decodes a single JSON object of at most maxBytes, without unknown keys. Errors are of type KeyError.
func decodeStrict(text []byte, maxBytes int, v any) error {
	if len(text) > maxBytes {
		return KeyError{"JSON", fmt.Sprintf("has %d bytes, %d at most", len(text), maxBytes)}
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) && typeErr.Field != "" {
			return KeyError{strings.ReplaceAll(typeErr.Field, "Edition.", ""), "is no " + typeErr.Type.String()}
		}
		if quoted, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
			if key, err := strconv.Unquote(quoted); err == nil && key != "" {
				return KeyError{key, "is not known"}
			}
		}
		return KeyError{"JSON", err.Error()}
	}
	if _, err := d.Token(); err != io.EOF {
		return KeyError{"JSON", "goes on after its end"}
	}
	return nil
}

// truncate returns the longest prefix of complete runes that has at most maxBytes. Invalid UTF-8 is replaced.
func truncate(text string, maxBytes int) string {
	text = strings.ToValidUTF8(text, "?")
	for len(text) > maxBytes {
		_, size := utf8.DecodeLastRuneInString(text)
		text = text[:len(text)-size]
	}
	return text
}

// queryFields are a query's values, one for each key.
type queryFields map[string]string

func parseFields(query string, known ...string) (queryFields, error) {
	v, err := url.ParseQuery(query)
	if err != nil {
		return nil, KeyError{"query", "is malformed: " + err.Error()}
	}
	f := queryFields{}
	for _, key := range known {
		if len(v[key]) > 1 {
			return nil, KeyError{key, "stands more than once"}
		}
		f[key] = v.Get(key)
		delete(v, key)
	}
	for key := range v {
		return nil, KeyError{strconv.Quote(truncate(key, MaxNameBytes)), "is not known"}
	}
	return f, nil
}

func (f queryFields) number(key string) (uint64, error) {
	if f[key] == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(f[key], 10, 64)
	if err != nil {
		return 0, KeyError{key, "must be a whole number from 0 on"}
	}
	return n, nil
}

func (f queryFields) edition(epoch, by string) (version.Edition, error) {
	n, err := f.number(epoch)
	if err != nil {
		return version.Edition{}, err
	}
	e := version.Edition{Epoch: n, By: f[by]}
	return e, checkEdition(epoch, by, e)
}

func (f queryFields) wait(key string) (time.Duration, error) {
	n, err := f.number(key)
	if limit := uint64(MaxWait.Milliseconds()); err == nil && n > limit {
		err = KeyError{key, fmt.Sprintf("must be from 0 to %d", limit)}
	}
	return time.Duration(n) * time.Millisecond, err
}

func (f queryFields) text(key string, maxBytes int) (string, error) {
	if len(f[key]) > maxBytes || !utf8.ValidString(f[key]) {
		return "", KeyError{key, fmt.Sprintf("must be text of %d bytes at most", maxBytes)}
	}
	return f[key], nil
}
