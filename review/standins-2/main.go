// Command standins2 plays the cases of the second review: it starts the routers of a small deployment, with stand-ins for endpoints, clients, the
// operator and the platform, and exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// trouble reports whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

var cases = map[string]func(*fleet) (broken bool, err error){
	"late-heartbeat-ends-successor": lateHeartbeatEndsSuccessor,
	"late-heartbeat-undoes-leave":   lateHeartbeatUndoesLeave,
	"long-answer-is-cut":            longAnswerIsCut,
	"lock-run-dies":                 lockRunDies,
	"lock-run-sleeps":               lockRunSleeps,
}

// machineCount is that of the small deployments: three machines with a disk, nine without.
const machineCount = 12

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) > 1 && os.Args[1] == jobCommand {
		return runJob(os.Args[2:])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standins2 CASE RECORD")
		return 2
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.file.Close()
	f, err := newFleet(r, machineCount)
	if err != nil {
		r.linef("can't run: %v", err)
		return 2
	}
	defer f.close()
	r.linef("disruption played: %v", trouble())
	broken, err := cases[os.Args[1]](f)
	switch {
	case err != nil:
		r.linef("can't run: %v", err)
		return 2
	case broken:
		r.linef("verdict: the rule is broken")
		return 1
	}
	r.linef("verdict: the rule holds")
	return 0
}
