package client

import (
	"net/url"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Limits of the service, in bytes.
const (
	MaxNameBytes  = 256      // of a name, a key or a holder name
	MaxValueBytes = 16 << 10 // of the value of a cell
)

// pathOf returns the path of a call: the prefix, the escaped name, the suffix. The error is a *RefusedError if the name is invalid.
func pathOf(prefix, name, suffix string) (string, error) {
	switch {
	case name == "" || len(name) > MaxNameBytes:
		return "", &RefusedError{Reason: "the name is empty, or longer than " + strconv.Itoa(MaxNameBytes) + " bytes"}
	case strings.Contains(name, "/") || name == "." || name == "..":
		return "", &RefusedError{Reason: "the name " + strconv.Quote(name) + " can't be part of a path"}
	}
	return prefix + url.PathEscape(name) + suffix, nil
}

// checkValue returns a *RefusedError if the service would reject the value.
func checkValue(value string) error {
	if len(value) > MaxValueBytes || !utf8.ValidString(value) {
		return &RefusedError{Reason: "the value is longer than " + strconv.Itoa(MaxValueBytes) + " bytes, or no UTF-8"}
	}
	return nil
}
