package client

import (
	"net/url"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Bounds of what the service takes, in bytes.
const (
	MaxNameBytes  = 256 // of a name, a key or a holder
	MaxValueBytes = 16 << 10
)

// pathOf returns the path of a call about a name.
func pathOf(before, name, after string) (string, error) {
	switch {
	case name == "" || len(name) > MaxNameBytes:
		return "", &RefusedError{Reason: "the name is empty, or longer than " + strconv.Itoa(MaxNameBytes) + " bytes"}
	case strings.Contains(name, "/") || name == "." || name == "..":
		return "", &RefusedError{Reason: "the name " + strconv.Quote(name) + " can't be part of a path"}
	}
	return before + url.PathEscape(name) + after, nil
}

func checkValue(value string) error {
	if len(value) > MaxValueBytes || !utf8.ValidString(value) {
		return &RefusedError{Reason: "the value is longer than " + strconv.Itoa(MaxValueBytes) + " bytes, or no UTF-8"}
	}
	return nil
}
