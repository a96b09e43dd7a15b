package config

import (
	"fmt"
	"slices"

	"pinelb.example/pinelb/balance"
)

// maxNames bounds the classes, and the tenants, that a process knows in its life: those that are removed keep their numbers.
const maxNames = 256

// Renumbered returns the settings with the class and tenant numbers of the settings before them, by name: a request that is
// being read must not be counted as another class's. Names that only the former settings have keep their numbers and values;
// such classes are marked as Removed.
func (s *Settings) Renumbered(previous *Settings) (Settings, error) {
	out := *s
	out.ClassNames, out.Classes = slices.Clone(previous.ClassNames), slices.Clone(previous.Classes)
	out.Removed = make([]bool, len(previous.ClassNames))
	for i := range out.Removed {
		out.Removed[i] = true
	}
	for i, name := range s.ClassNames {
		at := slices.Index(out.ClassNames, name)
		if at < 0 {
			at = len(out.ClassNames)
			out.ClassNames, out.Classes, out.Removed = append(out.ClassNames, name), append(out.Classes, balance.Class{}), append(out.Removed, false)
		}
		out.Classes[at], out.Removed[at] = s.Classes[i], false
	}
	out.TenantNames, out.Tenants = slices.Clone(previous.TenantNames), slices.Clone(previous.Tenants)
	for i, name := range s.TenantNames {
		at := slices.Index(out.TenantNames, name)
		if at < 0 {
			at = len(out.TenantNames)
			out.TenantNames, out.Tenants = append(out.TenantNames, name), append(out.Tenants, balance.Tenant{})
		}
		out.Tenants[at] = s.Tenants[i]
	}
	for what, names := range map[string][]string{"classes": out.ClassNames, "tenants": out.TenantNames} {
		if len(names) > maxNames {
			return out, fmt.Errorf("config: LB_CONFIG.settings.%s: over %d names since the start; restart to forget those that have vanished", what, maxNames)
		}
	}
	return out, nil
}
