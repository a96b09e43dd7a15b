// Command drill is the old name of pinelb-lbsim, for one release: it says so on standard error and does the same.
package main

import (
	"fmt"
	"io"
	"os"

	"pinelb.example/pinelb/internal/simadapter"
)

func main() { os.Exit(run(os.Stdin, os.Stdout, os.Stderr)) }

// run returns the exit status.
func run(in io.Reader, out, errOut io.Writer) int {
	fmt.Fprintln(errOut, "drill is now pinelb-lbsim; this name goes away in the next release")
	if err := simadapter.Run(in, out); err != nil {
		fmt.Fprintln(errOut, "drill:", err)
		return 1
	}
	return 0
}
