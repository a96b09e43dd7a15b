package settings

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a contract that is in force and not implemented, and is not reported either.
func TestUnknownContracts(t *testing.T) {
	Convey("Contracts that the program does not implement are returned", t, func() {
		s := &Settings{Contracts: []string{"base", "coord", "rollouts", "quota", "loans"}}
		So(s.UnknownContracts(), ShouldResemble, []string{"rollouts", "loans"})
	})
}
