package audit

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"pinelb.example/pinelb/internal/trail"
	"pinelb.example/pinelb/internal/version"
)

func parseReport(text []byte) (*trail.Report, error) {
	r := &trail.Report{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("audit: report: %w", err)
	}
	return r, nil
}

func checkChain(entries []trail.Entry) (faults []string) {
	for i := 1; i < len(entries); i++ {
		if a, b := entries[i-1], entries[i]; b.Seq != a.Seq+1 || b.Prev != a.Sum {
			faults = append(faults, fmt.Sprintf("entry %d does not follow entry %d", b.Seq, a.Seq))
		}
	}
	return faults
}

func compareFloors(a, b version.Floor) int {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.By, b.By))
}

func meets(f version.Floor, v version.Version) bool {
	return (f.List == 0 || v.List.Digest == f.List || v.List.Revision > f.Revision) && (f.Settings == 0 || f.Settings == v.Settings) &&
		(f.File == 0 || f.File == v.File) && (len(f.Builds) == 0 || slices.Contains(f.Builds, v.Build))
}
