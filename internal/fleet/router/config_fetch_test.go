package router

import (
	"context"
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/dissemination"
)

func TestFetchOutcome(t *testing.T) {
	Convey("A fetch that timed out is distinguished from one that was refused", t, func() {
		So(fetchOutcome(fmt.Errorf("call: %w", context.DeadlineExceeded)), ShouldEqual, dissemination.FetchTimedOut)
		So(fetchOutcome(errors.New("refused")), ShouldEqual, dissemination.FetchFailed)
	})
}
