package replica

import (
	"context"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a version that can't read, or go on from, the disk of a former one. testdata/disk-b772427 was written by the
// replica of commit b772427: versions 3 and 4 of a configuration.
func TestFormerDisk(t *testing.T) {
	Convey("A replica that starts with the disk of a former version", t, func() {
		directory := t.TempDir()
		So(os.CopyFS(directory, os.DirFS("testdata/disk-b772427")), ShouldBeNil)
		r, _ := startAlone(directory, false)
		defer r.Close()

		Convey("has the configuration, knows the changes that led to it, and takes the next one", func() {
			So(submit(r, newChange(0, `{"version":3,"upsert":{"services":[{"name":"s"}]}}`)), ShouldBeNil) // committed before
			document, err := r.Read(context.Background())
			So(err, ShouldBeNil)
			So(document.Version(), ShouldEqual, 4)
			So(submit(r, newChange(4, `{"version":5}`)), ShouldBeNil)
		})
	})
}
