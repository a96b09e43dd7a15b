package replica

import (
	"context"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a build that can't read or continue the log of an earlier build. testdata/disk-b772427 was written by the
// replica of commit b772427, and holds versions 3 and 4 of a configuration.
func TestLogOfEarlierBuild(t *testing.T) {
	Convey("A replica that starts with the log of an earlier build", t, func() {
		directory := t.TempDir()
		So(os.CopyFS(directory, os.DirFS("testdata/disk-b772427")), ShouldBeNil)
		r, _ := startSingle(directory, false)
		defer r.Close()

		Convey("has the configuration, recognises the changes that were applied, and commits the next one", func() {
			So(submit(r, newChange(0, `{"version":3,"upsert":{"services":[{"name":"s"}]}}`)), ShouldBeNil) // committed by the earlier build
			document, err := r.Read(context.Background())
			So(err, ShouldBeNil)
			So(document.Version(), ShouldEqual, 4)
			So(submit(r, newChange(4, `{"version":5}`)), ShouldBeNil)
		})
	})
}
