package config

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/tidwall/gjson"
)

// Reload reads the environment and the file again, to replace the configuration in force. A key now takes precedence over its
// variable: the file may have been replaced, and the environment is as old as the process. A file that lacks a key that the one
// in force has is an error: it may have been truncated.
func Reload(getenv func(string) string, inForce *Config) (*Config, error) {
	c, err := readConfig(getenv, func(variable, key string) string { return cmp.Or(key, variable) })
	if err != nil {
		return nil, err
	}
	if key := missingKey(inForce.file, c.file, ""); key != "" {
		return nil, fmt.Errorf("config: LB_CONFIG%s is missing; the file in force has it", key)
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return c, nil
}

// missingKey returns the first key that before has and now lacks; empty: none. Of lists, every element needs the keys that
// every element had. The cached list of endpoints may be absent.
func missingKey(before, now gjson.Result, at string) string {
	switch {
	case before.IsObject():
		current := now.Map()
		for key, v := range before.Map() {
			if at == "" && key == "known" {
				continue
			}
			here := at + "." + key
			if !current[key].Exists() || current[key].Type == gjson.Null && v.Type != gjson.Null {
				return here
			}
			if missing := missingKey(v, current[key], here); missing != "" {
				return missing
			}
		}
	case before.IsArray():
		common := commonKeys(before.Array())
		for i, v := range now.Array() {
			current := v.Map()
			for _, key := range common {
				if !current[key].Exists() || current[key].Type == gjson.Null {
					return fmt.Sprintf("%s[%d].%s", at, i, key)
				}
			}
		}
	}
	return ""
}

// commonKeys returns the keys that all elements of a list have, if those are objects.
func commonKeys(list []gjson.Result) (keys []string) {
	for i, v := range list {
		if i == 0 {
			for key := range v.Map() {
				keys = append(keys, key)
			}
		}
		keys = slices.DeleteFunc(keys, func(key string) bool { return !v.Get(gjson.Escape(key)).Exists() })
	}
	return keys
}
