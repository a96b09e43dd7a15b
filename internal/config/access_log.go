package config

import (
	"path/filepath"

	"pinelb.example/pinelb/internal/tomlfile"
)

// AccessLog is the section [record]: one line is written for each stream.
type AccessLog struct {
	Destination       string `toml:"to"`         // "log" (standard error), or the absolute path of a file
	MaxBytes          Size   `toml:"most"`       // of the file and the one before it together
	MaxLinesPerSecond int    `toml:"per_second"` // of streams
}

// Defaults and limits of [record].
const (
	defaultAccessLogBytes Size = 64 << 20
	minAccessLogBytes     Size = 2 << 20 // half of it has to hold the header and a batch of lines
	defaultLinesPerSecond      = 2000
	maxLinesPerSecond          = 100000
)

// ToStderr reports whether the lines go to the log, which is standard error.
func (r *AccessLog) ToStderr() bool { return r.Destination == "log" }

// check sets defaults and returns an error for the first invalid key.
func (r *AccessLog) check(file *tomlfile.File) error {
	switch {
	case !r.ToStderr() && !filepath.IsAbs(r.Destination):
		return file.Errorf("record.to", `must be "log" or the absolute path of a file`)
	case r.ToStderr() && file.Has("record.most"):
		return file.Errorf("record.most", `bounds a file; it has no meaning where to is "log"`)
	case file.Has("record.most") && r.MaxBytes < minAccessLogBytes:
		return file.Errorf("record.most", `must be "%dMiB" or more`, minAccessLogBytes>>20)
	case file.Has("record.per_second") && (r.MaxLinesPerSecond < 1 || r.MaxLinesPerSecond > maxLinesPerSecond):
		return file.Errorf("record.per_second", "must be 1 to %d", maxLinesPerSecond)
	}
	if !file.Has("record.most") {
		r.MaxBytes = defaultAccessLogBytes
	}
	if !file.Has("record.per_second") {
		r.MaxLinesPerSecond = defaultLinesPerSecond
	}
	return nil
}
