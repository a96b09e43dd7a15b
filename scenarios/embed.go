// Package scenarios holds the scenarios that come with the program, so that they can be played by name.
package scenarios

import "embed"

// Files are the scenarios, each NAME.toml.
//
//go:embed *.toml
var Files embed.FS
