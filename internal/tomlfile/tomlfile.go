// Package tomlfile decodes TOML strictly: an unknown key, a value of the wrong type and a value that is out of range are errors
// that name the file, the line and the key. It is pure. Packages config and settingsserver use it, and the rig for its
// scenarios.
package tomlfile

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Duration is a duration in a file, written as "250ms" or "1m30s".
type Duration time.Duration

// UnmarshalText parses a duration.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("must be a time such as \"250ms\"")
	}
	*s = Duration(d)
	return nil
}

// MarshalText formats a duration as UnmarshalText parses it.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// D returns the duration as the standard library's type.
func (s Duration) D() time.Duration { return time.Duration(s) }

// File knows the line of each key of a file.
type File struct {
	name  string
	lines map[string]int
}

// KeyError says what is wrong with a file, in which line and at which key.
type KeyError struct {
	File   string
	Line   int    // from 1
	Key    string // empty: no key is known
	Reason string
}

func (e *KeyError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Reason)
}

// Decode decodes data into v. The error is a *KeyError, or one that names the file.
func Decode(name string, data []byte, v any) (*File, error) {
	f := &File{name: name, lines: map[string]int{}}
	dec := toml.NewDecoder(strings.NewReader(string(data))).DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		var unknown *toml.StrictMissingError
		var fault *toml.DecodeError
		switch {
		case errors.As(err, &unknown) && len(unknown.Errors) > 0:
			row, _ := unknown.Errors[0].Position()
			return nil, f.errorAt(row, strings.Join(unknown.Errors[0].Key(), "."), "is unknown")
		case errors.As(err, &fault):
			row, _ := fault.Position()
			return nil, f.errorAt(row, strings.Join(fault.Key(), "."), strings.TrimPrefix(fault.Error(), "toml: "))
		}
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return f, f.index(data)
}

// Errorf returns a *KeyError about a key, such as "tier[1].kind[0].cores". The line is that of the key or, where it is absent, of
// the table that lacks it.
func (f *File) Errorf(key, format string, args ...any) error {
	for at := key; ; {
		if line, known := f.lines[at]; known {
			return f.errorAt(line, key, fmt.Sprintf(format, args...))
		}
		cut := strings.LastIndexByte(at, '.')
		if cut < 0 {
			return f.errorAt(1, key, fmt.Sprintf(format, args...))
		}
		at = at[:cut]
	}
}

// Has reports whether the file has a key or a table of that name.
func (f *File) Has(key string) bool { return f.lines[key] > 0 }

func (f *File) errorAt(line int, key, reason string) error {
	return &KeyError{File: f.name, Line: line, Key: key, Reason: reason}
}

// index records the line of each table and key. The elements of an array of tables are numbered from 0, those of inner arrays
// anew in each.
func (f *File) index(data []byte) error {
	var p unstable.Parser
	p.Reset(data)
	counts, table := map[string]int{}, ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			table = f.keyPath(&p, e, "", counts)
		case unstable.ArrayTable:
			path := f.keyPath(&p, e, "", counts)
			table = fmt.Sprintf("%s[%d]", path, counts[path])
			counts[path]++
			f.lines[table] = f.lines[path]
		case unstable.KeyValue:
			f.indexInline(&p, e.Value(), f.keyPath(&p, e, table, counts), counts)
		}
	}
	return p.Error()
}

// indexInline records the lines of keys in inline tables, where v is the value at path.
func (f *File) indexInline(p *unstable.Parser, v *unstable.Node, path string, counts map[string]int) {
	it := v.Children()
	switch v.Kind {
	case unstable.InlineTable:
		for it.Next() {
			f.indexInline(p, it.Node().Value(), f.keyPath(p, it.Node(), path, counts), counts)
		}
	case unstable.Array:
		for i := 0; it.Next(); i++ {
			element := fmt.Sprintf("%s[%d]", path, i)
			f.lines[element] = f.lines[path]
			f.indexInline(p, it.Node(), element, counts)
		}
	}
}

// keyPath returns the full name of an expression's key, in which each array of tables stands for its last element.
func (f *File) keyPath(p *unstable.Parser, e *unstable.Node, table string, counts map[string]int) string {
	path, line := table, 0
	for it := e.Key(); it.Next(); {
		if n := counts[path]; n > 0 && table == "" {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		if path != "" {
			path += "."
		}
		path += string(it.Node().Data)
		line = p.Shape(it.Node().Raw).Start.Line
	}
	f.lines[path] = line
	return path
}
