package config

import (
	"fmt"
	"math"
	"time"

	"github.com/tidwall/gjson"
)

// reader decodes typed values of one JSON object and keeps the first error, so that code that reads many keys need not check
// each. Absent keys read as zero.
type reader struct {
	path string // of the object, for errors
	json gjson.Result
	err  *error // shared by the readers of one text; nil until the first error
}

func (r *reader) fail(key, what string) {
	if r.err == nil {
		r.err = new(error)
	}
	if *r.err == nil {
		*r.err = fmt.Errorf("config: %s.%s %s", r.path, key, what)
	}
}

func (r *reader) firstError() error {
	if r.err == nil {
		return nil
	}
	return *r.err
}

// value returns the value of a key, and whether it is there and of the wanted type.
func (r *reader) value(key, want string, fits func(gjson.Result) bool) (gjson.Result, bool) {
	v := r.json.Get(key)
	if !v.Exists() || v.Type == gjson.Null {
		return v, false
	}
	if !fits(v) {
		r.fail(key, "must be "+want)
		return gjson.Result{}, false
	}
	return v, true
}

func isNumber(v gjson.Result) bool { return v.Type == gjson.Number && !math.IsInf(v.Num, 0) } // a number of 400 digits is infinite
func isText(v gjson.Result) bool   { return v.Type == gjson.String }

func (r *reader) numberOr(key string, def float64) float64 {
	if v, there := r.value(key, "a number", isNumber); there {
		return v.Num
	}
	return def
}

func (r *reader) number(key string) float64 { return r.numberOr(key, 0) }

// nonNegative reads a number that can't be below 0.
func (r *reader) nonNegative(key string) float64 { return r.nonNegativeOr(key, 0) }

func (r *reader) nonNegativeOr(key string, def float64) float64 {
	v := r.numberOr(key, def)
	if v < 0 {
		r.fail(key, "must not be below 0")
	}
	return v
}

func (r *reader) integer(key string) int {
	v := r.number(key)
	if v != math.Trunc(v) || math.Abs(v) > 1<<31 {
		r.fail(key, "must be a whole number")
		return 0
	}
	return int(v)
}

// duration reads nanoseconds, which is how the settings state every duration.
func (r *reader) duration(key string) time.Duration {
	v := r.number(key)
	if v < 0 || v > math.MaxInt64/2 {
		r.fail(key, "must be a time in nanoseconds")
		return 0
	}
	return time.Duration(v)
}

func (r *reader) text(key string) string {
	v, _ := r.value(key, "a string", isText)
	return v.Str
}

func (r *reader) flag(key string) bool {
	v, _ := r.value(key, "true or false", gjson.Result.IsBool)
	return v.Type == gjson.True
}

func (r *reader) texts(key string) []string {
	list, _ := r.value(key, "a list of strings", gjson.Result.IsArray)
	var out []string
	for i, v := range list.Array() {
		if v.Type != gjson.String {
			r.fail(fmt.Sprintf("%s[%d]", key, i), "must be a string")
		}
		out = append(out, v.Str)
	}
	return out
}

// objects returns a reader for each object of a list; they share the first error.
func (r *reader) objects(key string) []*reader {
	list, _ := r.value(key, "a list of objects", gjson.Result.IsArray)
	if r.err == nil {
		r.err = new(error)
	}
	var out []*reader
	for i, v := range list.Array() {
		at := fmt.Sprintf("%s[%d]", key, i)
		if !v.IsObject() {
			r.fail(at, "must be an object")
			continue
		}
		out = append(out, &reader{path: r.path + "." + at, json: v, err: r.err})
	}
	return out
}

// object returns a reader for the object at a key, which may be absent.
func (r *reader) object(key string) *reader {
	v, _ := r.value(key, "an object", gjson.Result.IsObject)
	if r.err == nil {
		r.err = new(error)
	}
	return &reader{path: r.path + "." + key, json: v, err: r.err}
}
