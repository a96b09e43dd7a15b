// Command pinelb-lbsim adapts the decision module to the simulator's protocol: it reads batches of events on standard input and
// writes actions to standard output. Its exit status is 1 after an error, with one line on standard error, and 0 at the end of
// input.
package main

import (
	"fmt"
	"os"

	"pinelb.example/pinelb/internal/simadapter"
)

func main() {
	if err := simadapter.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "pinelb-lbsim:", err)
		os.Exit(1)
	}
}
