// Command pinelab is the former name of pinelb-testlab. It works for one more release.
package main

import (
	"fmt"
	"os"

	"pinelb.example/pinelb/internal/lab/cli"
)

func main() {
	fmt.Fprintln(os.Stderr, "pinelab is now called pinelb-testlab; the former name goes away with the next release")
	os.Exit(cli.Main())
}
