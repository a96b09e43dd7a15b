// Package tomlfile reads TOML strictly: a key that nobody knows, a value of the wrong type and a value that
// is out of range are all errors that name the file, the line and the key. The operator's file and the rig's
// scenarios are read by it.
package tomlfile

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Duration is a time in a file, written as "250ms" or "1m30s".
type Duration time.Duration

// UnmarshalText reads a time.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("must be a time such as \"250ms\"")
	}
	*s = Duration(d)
	return nil
}

// MarshalText writes it.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// D is the time as a duration.
func (s Duration) D() time.Duration { return time.Duration(s) }

// File knows where each key of a file stands.
type File struct {
	name  string
	lines map[string]int
}

// Decode reads data into v. The error names the file, the line and the key.
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

// Errorf is an error about a key, such as "tier[1].kind[0].cores": the line is that of the key or, where it is
// absent, of the table that lacks it.
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

// Has tells whether the file has a key or a table of that name.
func (f *File) Has(key string) bool { return f.lines[key] > 0 }

func (f *File) errorAt(line int, key, what string) error {
	if key == "" {
		return fmt.Errorf("%s:%d: %s", f.name, line, what)
	}
	return fmt.Errorf("%s:%d: %s: %s", f.name, line, key, what)
}

// index notes the line of each table and key. The elements of an array of tables are counted from 0, those
// of the inner arrays anew in each.
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

// inside notes the lines of the keys of inline tables, which are the value of that path or stand in it.
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

// path is the full name of an expression's key, in which each array of tables stands for its last element.
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
