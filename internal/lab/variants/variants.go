// Package variants derives site files of deployments that don't exist from one of the bench's: other zones, regions, disks,
// cores, engines and workloads. The files go beside the bench's, never into the repository. Only Write touches the file
// system.
package variants

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// wireFile lies beside a site file and belongs to it.
const wireFile = "wire.json"

// ErrNoZones says that a site file has no zones.
var ErrNoZones = errors.New("variants: the site has no zones")

// UnknownVariantError says that there is no variant of a name.
type UnknownVariantError struct{ Name string }

func (e *UnknownVariantError) Error() string { return "variants: there is no " + e.Name }

// transformation makes a variant by changing a site. zones are the names of its zones, one at least.
type transformation func(s siteFile, zones []string)

// Write reads a site file and writes all its variants into a directory, together with wireFile. It returns their paths.
func Write(path, dir string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("variants: %w", err)
	}
	wire, err := os.ReadFile(filepath.Join(filepath.Dir(path), wireFile))
	if err != nil {
		return nil, fmt.Errorf("variants: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, wireFile), wire, 0o644); err != nil {
		return nil, fmt.Errorf("variants: %w", err)
	}
	var paths []string
	for _, name := range variantNames() {
		variant, err := Make(text, name)
		if err != nil {
			return nil, err
		}
		variantPath := filepath.Join(dir, name+".toml")
		if err := os.WriteFile(variantPath, variant, 0o644); err != nil {
			return nil, fmt.Errorf("variants: %w", err)
		}
		paths = append(paths, variantPath)
	}
	return paths, nil
}

// variantNames returns the names of all variants, sorted.
func variantNames() []string {
	names := slices.Concat(slices.Collect(maps.Keys(deploymentVariants)), slices.Collect(maps.Keys(workloadVariants)))
	slices.Sort(names)
	return names
}

// Make returns the variant of a site file that has that name. An error is an *UnknownVariantError, ErrNoZones or of the TOML.
func Make(text []byte, name string) ([]byte, error) {
	transform := deploymentVariants[name]
	if transform == nil {
		transform = workloadVariants[name]
	}
	if transform == nil {
		return nil, &UnknownVariantError{name}
	}
	var s siteFile
	if err := toml.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("variants: %w", err)
	}
	zones := s.zoneNames()
	if len(zones) == 0 {
		return nil, ErrNoZones
	}
	s["name"] = name
	transform(s, zones)
	variant, err := toml.Marshal(map[string]any(s))
	if err != nil {
		return nil, fmt.Errorf("variants: %w", err)
	}
	return variant, nil
}
