package config

import "errors"

var errUnnamed = errors.New("config: an item without a name")

// InvalidError says what is at fault in a configuration, and why.
type InvalidError struct{ Item, Reason string }

func (e *InvalidError) Error() string { return "config: " + e.Item + " " + e.Reason }
