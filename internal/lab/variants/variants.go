// Package variants makes site files of deployments that nobody has out of one of the bench's: other zones, regions, disks,
// cores and bounds. The files go beside the bench's, never into the repository.
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

// site is a site file, of which only a few keys are touched.
type siteFile map[string]any

// variant changes a site. zones are the names of its zones.
type transformation func(s siteFile, zones []string)

// deploymentVariants are the variants by name.
var deploymentVariants = map[string]transformation{
	"six-disks":   sixDisks,
	"no-disk":     noDisk,
	"four-cores":  fourCores,
	"two-regions": twoRegions,
	"one-disk":    oneDisk,
	"two-disks":   twoDisks,
	"four-disks":  fourDisks,
	"five-disks":  fiveDisks,
	"zone-lost":   zoneLost,
	"region-lost": regionLost,
	"one-zone":    oneZone,
}

// machine is one row of a site's machines.
type machineGroup struct {
	cpuShare float64
	cores    int
	fds      int
	memoryMB int
	zone     string
	count    int
	disk     bool
	counted  bool
}

func (m machineGroup) table() map[string]any {
	row := map[string]any{
		"class": "front", "cpu_share": m.cpuShare, "cores": max(1, m.cores), "memory_mb": m.memoryMB, "fds": m.fds,
		"link_mbps": 1000.0, "zone": m.zone, "count": m.count, "spare": 1,
	}
	if m.counted {
		row["counted"] = true
	}
	if m.disk {
		row["disk"] = map[string]any{"mb": 64, "sync_ms": 1, "mb_per_s": 120}
	}
	return row
}

// usual are a core machine with a disk and three others.
func defaultMachines(zone string) []machineGroup {
	return []machineGroup{
		{cpuShare: 0.72, fds: 4100, memoryMB: 284, zone: zone, count: 1, disk: true, counted: true},
		{cpuShare: 0.4, fds: 4100, memoryMB: 284, zone: zone, count: 3},
	}
}

func (s siteFile) setMachines(machines []machineGroup) {
	var rows []any
	for _, m := range machines {
		rows = append(rows, m.table())
	}
	s["machines"] = rows
}

func (s siteFile) set(table, key string, value any) {
	if t, is := s[table].(map[string]any); is {
		t[key] = value
	}
}

// setDisks has so many machines with disks, spread evenly over the zones, of which so many may be lost.
func (s siteFile) setDisks(zones []string, disks, tolerated int) {
	var machines []machineGroup
	for i, zone := range zones {
		rows := defaultMachines(zone)
		rows[0].count = (disks + len(zones) - 1 - i) / len(zones)
		rows[1].count = 4 - rows[0].count
		if rows[0].count == 0 {
			rows = rows[1:]
		}
		machines = append(machines, rows...)
	}
	s.setMachines(machines)
	s.set("tolerate", "machines", tolerated)
}

func twoDisks(s siteFile, zones []string)  { s.setDisks(zones, 2, 0) }
func fourDisks(s siteFile, zones []string) { s.setDisks(zones, 4, 1) }
func fiveDisks(s siteFile, zones []string) { s.setDisks(zones, 5, 2) }

// zoneLost: any one zone may be lost, and no machine beside.
func zoneLost(s siteFile, zones []string) {
	s.setDisks(zones, len(zones), 0)
	s.set("tolerate", "zones", 1)
}

// regionLost: each zone is a region of its own, of which any one may be lost.
func regionLost(s siteFile, zones []string) {
	s.setDisks(zones, len(zones), 0)
	s.set("tolerate", "regions", 1)
	for _, zone := range s.tables("zones") {
		zone["region"] = fmt.Sprint("region-", zone["name"])
	}
}

func sixDisks(s siteFile, zones []string) {
	var machines []machineGroup
	for _, zone := range zones {
		rows := defaultMachines(zone)
		rows[0].count, rows[1].count = 2, 2
		machines = append(machines, rows...)
	}
	s.setMachines(machines)
	s.set("tolerate", "machines", 2)
}

func noDisk(s siteFile, zones []string) {
	var machines []machineGroup
	for _, zone := range zones {
		rows := defaultMachines(zone)
		rows[0].disk = false
		machines = append(machines, rows...)
	}
	s.setMachines(machines)
}

func fourCores(s siteFile, zones []string) {
	var machines []machineGroup
	for _, zone := range zones {
		rows := defaultMachines(zone)
		rows[0].cores, rows[0].fds = 4, 900
		rows[1].cores, rows[1].fds, rows[1].memoryMB, rows[1].cpuShare = 2, 900, 160, 0.3
		machines = append(machines, rows...)
	}
	s.setMachines(machines)
	s.set("bounds", "closed", false)
}

func twoRegions(s siteFile, zones []string) {
	if rows, is := s["zones"].([]any); is {
		if last, is := rows[len(rows)-1].(map[string]any); is {
			last["region"] = "elsewhere"
		}
	}
	var machines []machineGroup
	for _, zone := range zones {
		machines = append(machines, defaultMachines(zone)...)
	}
	s.setMachines(machines)
}

func oneDisk(s siteFile, zones []string) {
	machines := []machineGroup{{cpuShare: 0.9, fds: 4100, memoryMB: 284, zone: zones[0], count: 1, disk: true, counted: true}}
	for _, zone := range zones {
		machines = append(machines, machineGroup{cpuShare: 0.6, fds: 4100, memoryMB: 284, zone: zone, count: 2})
	}
	s.setMachines(machines)
	s.set("tolerate", "machines", 0)
}

func oneZone(s siteFile, zones []string) {
	first := zones[0]
	s["zones"] = s["zones"].([]any)[:1]
	s.setMachines([]machineGroup{
		{cpuShare: 0.72, fds: 4100, memoryMB: 284, zone: first, count: 3, disk: true, counted: true},
		{cpuShare: 0.4, fds: 4100, memoryMB: 284, zone: first, count: 9},
	})
	for _, service := range s.tables("services") {
		total := int64(0)
		for _, servers := range siteFile(service).tables("servers") {
			total += servers["count"].(int64)
		}
		service["servers"] = []any{map[string]any{"zone": first, "count": total}}
	}
	s.setClientZone(first)
	for _, day := range s.tables("day") {
		siteFile(day).setClientZone(first)
	}
}

// setClientZone has all clients come from one zone.
func (s siteFile) setClientZone(zone string) {
	for _, traffic := range s.tables("traffic") {
		traffic["zone"] = zone
	}
}

// tables are the tables of a list.
func (s siteFile) tables(key string) []map[string]any {
	rows, _ := s[key].([]any)
	var tables []map[string]any
	for _, row := range rows {
		if table, is := row.(map[string]any); is {
			tables = append(tables, table)
		}
	}
	return tables
}

// Write reads a site file and writes all its variants, with the wire file that lies beside it, into a folder. It returns
// their paths.
func Write(path, folder string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("variants: %w", err)
	}
	wire, err := os.ReadFile(filepath.Join(filepath.Dir(path), "wire.json"))
	if err != nil {
		return nil, fmt.Errorf("variants: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, "wire.json"), wire, 0o644); err != nil {
		return nil, fmt.Errorf("variants: %w", err)
	}
	var paths []string
	names := slices.Concat(slices.Collect(maps.Keys(deploymentVariants)), slices.Collect(maps.Keys(workloadVariants)))
	slices.Sort(names)
	for _, name := range names {
		made, err := Make(text, name)
		if err != nil {
			return nil, err
		}
		paths = append(paths, filepath.Join(folder, name+".toml"))
		if err := os.WriteFile(paths[len(paths)-1], made, 0o644); err != nil {
			return nil, fmt.Errorf("variants: %w", err)
		}
	}
	return paths, nil
}

// Make returns a site file's variant of that name.
func Make(text []byte, name string) ([]byte, error) {
	change := deploymentVariants[name]
	if change == nil {
		change = workloadVariants[name]
	}
	if change == nil {
		return nil, fmt.Errorf("variants: there is no %s", name)
	}
	var s siteFile
	if err := toml.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("variants: %w", err)
	}
	var zones []string
	for _, zone := range s.tables("zones") {
		if n, is := zone["name"].(string); is {
			zones = append(zones, n)
		}
	}
	if len(zones) == 0 {
		return nil, errors.New("variants: the site has no zones")
	}
	s["name"] = name
	change(s, zones)
	made, err := toml.Marshal(map[string]any(s))
	if err != nil {
		return nil, fmt.Errorf("variants: %w", err)
	}
	return made, nil
}
