package version

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// MetBy reports for each of v's list, settings, operator's file and build whether it is allowed.
func (f *MinimumVersion) MetBy(v *Version) (list, settings, file, build bool) {
	// A digest of the same revision that differs is of a service that has restarted, or of another one.
	list = f.List == 0 || v.List.Digest == f.List || v.List.Revision > f.Revision
	settings = f.Settings == 0 || v.Settings == f.Settings
	file = f.File == 0 || v.File == f.File
	build = len(f.Builds) == 0 || slices.Contains(f.Builds, v.Build)
	return
}

// missing names what v lacks; it is empty where v may act.
func (f *MinimumVersion) missing(v *Version) string {
	list, settings, file, build := f.MetBy(v)
	var lacks []string
	for _, one := range []struct {
		met  bool
		name string
	}{{list, "list"}, {settings, "settings"}, {file, "file"}, {build, "build"}} {
		if !one.met {
			lacks = append(lacks, one.name)
		}
	}
	return strings.Join(lacks, ", ")
}

// compare orders epochs, and within one the auditors' names.
func compare(epoch uint64, by string, otherEpoch uint64, otherBy string) int {
	return cmp.Or(cmp.Compare(epoch, otherEpoch), cmp.Compare(by, otherBy))
}

// equal reports whether two minimum versions of one epoch are the same.
func (f *MinimumVersion) equal(o *MinimumVersion) bool {
	return f.Epoch == o.Epoch && f.By == o.By && f.Site == o.Site && f.List == o.List && f.Revision == o.Revision &&
		f.Settings == o.Settings && f.File == o.File && slices.Equal(f.Builds, o.Builds) &&
		f.Grace == o.Grace && f.Spread == o.Spread && f.Validity == o.Validity
}

// MaxShutOut returns how many of n sidecars may be shut out at once: the share, rounded down, and never all of them. With one
// sidecar, or fewer than 1 / share, it is none: an old list serves better than nobody.
func MaxShutOut(share float64, n int) int {
	if !(share > 0) || n < 1 {
		return 0
	}
	return min(int(math.Floor(min(share, 1)*float64(n)+1e-9)), n-1) // 1e-9: 0.29 x 100 is less than 29 in binary
}
