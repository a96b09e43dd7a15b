package daemon

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/internal/config"
)

const maxSiteBytes = 128 // of a site's name in an order

// siteFingerprint tells one site's state from another's: what was learned at another site would mislead.
func siteFingerprint(cfg *config.Config) string {
	s := &cfg.Settings
	return fmt.Sprintf("tier %d of %d, kinds %s, zones %s", s.Tier, s.Tiers, strings.Join(s.KindNames, " "), strings.Join(s.ZoneNames, " "))
}

// siteName returns the site as auditors' orders name it: the fingerprint, or a hash of one that is too long. It is the same for
// as long as the process runs.
func siteName(cfg *config.Config) string {
	site := siteFingerprint(cfg)
	if len(site) <= maxSiteBytes {
		return site
	}
	return fmt.Sprintf("tier %d of %d, %016x", cfg.Settings.Tier, cfg.Settings.Tiers, xxhash.Sum64String(site))
}

// buildID names the build that runs: the revision that the build recorded, or where it recorded none or one with changes, a
// hash of the executable.
func buildID() string {
	recorded := map[string]string{}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			recorded[s.Key] = s.Value
		}
	}
	revision := recorded["vcs.revision"]
	if revision != "" && recorded["vcs.modified"] != "true" {
		return revision
	}
	sum, err := hashFile("/proc/self/exe")
	if err != nil {
		return cmp.Or(revision, "unknown") + "+modified"
	}
	if revision != "" {
		revision += "+modified "
	}
	return fmt.Sprintf("%s%016x", revision, sum)
}

// hashFile returns the xxHash64 of a file's content.
func hashFile(path string) (uint64, error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	sum := xxhash.New()
	_, err = io.Copy(sum, f)
	return sum.Sum64(), errors.Join(err, f.Close())
}
