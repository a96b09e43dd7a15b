package settings

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a part of the rules that is in force and that nothing serves, without a word.
func TestUnknownContracts(t *testing.T) {
	Convey("Contracts that the program does not know are named", t, func() {
		s := &Settings{Contracts: []string{"base", "coord", "rollouts", "quota", "loans"}}
		So(s.UnknownContracts(), ShouldResemble, []string{"rollouts", "loans"})
	})
}
