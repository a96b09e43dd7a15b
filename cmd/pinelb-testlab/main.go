// Command pinelb-testlab is the project's test lab: it plays scenarios, faults and loads against pinelb and judges what happened.
// docs/operate/testlab.md describes it.
package main

import (
	"os"

	"pinelb.example/pinelb/internal/lab/cli"
)

func main() { os.Exit(cli.Main()) }
