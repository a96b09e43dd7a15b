package accesslog

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/tidwall/gjson"
)

// maxMilliseconds bounds any time, Unix time included, to what a time.Duration can represent.
const maxMilliseconds = 9e12 // milliseconds of any time, Unix time included: a time.Duration holds them

// lineFields decodes typed values of one line and keeps the first error. Absent keys read as zero.
type lineFields struct {
	json gjson.Result
	path string // of the object in its line, for errors
	err  error
}

func (f *lineFields) fail(key, what string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s%s %s", f.path, key, what)
	}
}

// get returns the value of a key, which has to be of that type if it is there.
func (f *lineFields) get(key, want string, fits func(gjson.Result) bool) gjson.Result {
	v := f.json.Get(key)
	if v.Exists() && !fits(v) {
		f.fail(key, "must be "+want)
		return gjson.Result{}
	}
	return v
}

func (f *lineFields) text(key string) string {
	return f.get(key, "a string", func(v gjson.Result) bool { return v.Type == gjson.String }).Str
}

func (f *lineFields) flag(key string) bool {
	return f.get(key, "true or false", gjson.Result.IsBool).Bool()
}

func (f *lineFields) list(key string) []gjson.Result {
	return f.get(key, "a list", gjson.Result.IsArray).Array()
}

func (f *lineFields) number(key string) float64 {
	return f.get(key, "a number", func(v gjson.Result) bool {
		return v.Type == gjson.Number && !math.IsInf(v.Num, 0) && !math.IsNaN(v.Num)
	}).Num
}

func (f *lineFields) count(key string) int {
	n := f.number(key)
	if n != math.Trunc(n) || n < 0 || n > math.MaxInt32 {
		f.fail(key, "must be a whole number")
		return 0
	}
	return int(n)
}

// ms reads milliseconds.
func (f *lineFields) ms(key string) time.Duration {
	n := f.number(key)
	if math.Abs(n) > maxMilliseconds {
		f.fail(key, "must be a time in milliseconds")
		return 0
	}
	return time.Duration(math.Round(n*1000)) * time.Microsecond // a float64 can't represent it in nanoseconds
}

// enum reads one of the words and returns its index.
func (f *lineFields) enum(key string, words []string) int {
	i := slices.Index(words, f.text(key))
	if i < 0 {
		f.fail(key, fmt.Sprintf("%q is none of %q", f.text(key), words))
		return 0
	}
	return i
}
