package variants

import "fmt"

// deploymentVariants have other zones, machines or tolerated losses than the site, by name.
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

// setDisks distributes machines with disks evenly over the zones, and sets how many machines may be lost.
func (s siteFile) setDisks(zones []string, disks, tolerated int) {
	var machines []machineGroup
	for i, zone := range zones {
		groups := defaultMachines(zone)
		groups[0].count = (disks + len(zones) - 1 - i) / len(zones)
		groups[1].count = 4 - groups[0].count
		if groups[0].count == 0 {
			groups = groups[1:]
		}
		machines = append(machines, groups...)
	}
	s.setMachines(machines)
	s.set("tolerate", "machines", tolerated)
}

func twoDisks(s siteFile, zones []string)  { s.setDisks(zones, 2, 0) }
func fourDisks(s siteFile, zones []string) { s.setDisks(zones, 4, 1) }
func fiveDisks(s siteFile, zones []string) { s.setDisks(zones, 5, 2) }

// zoneLost tolerates the loss of any one zone, but of no machine in addition.
func zoneLost(s siteFile, zones []string) {
	s.setDisks(zones, len(zones), 0)
	s.set("tolerate", "zones", 1)
}

// regionLost makes each zone a region of its own, and tolerates the loss of any one region.
func regionLost(s siteFile, zones []string) {
	s.setDisks(zones, len(zones), 0)
	s.set("tolerate", "regions", 1)
	for _, zone := range s.tables("zones") {
		zone["region"] = fmt.Sprint("region-", zone["name"])
	}
}

// sixDisks has two core machines in each zone.
func sixDisks(s siteFile, zones []string) {
	s.setMachines(machinesByZone(zones, func(core, others *machineGroup) {
		core.count, others.count = 2, 2
	}))
	s.set("tolerate", "machines", 2)
}

func noDisk(s siteFile, zones []string) {
	s.setMachines(machinesByZone(zones, func(core, _ *machineGroup) {
		core.disk = false
	}))
}

// fourCores has machines with more cores, fewer file descriptors and less memory, and a site that isn't closed.
func fourCores(s siteFile, zones []string) {
	s.setMachines(machinesByZone(zones, func(core, others *machineGroup) {
		core.cores, core.fds = 4, 900
		others.cores, others.fds, others.memoryMB, others.cpuShare = 2, 900, 160, 0.3
	}))
	s.set("bounds", "closed", false)
}

// twoRegions has the last zone in a region of its own.
func twoRegions(s siteFile, zones []string) {
	if rows, ok := s["zones"].([]any); ok {
		if last, ok := rows[len(rows)-1].(map[string]any); ok {
			last["region"] = "elsewhere"
		}
	}
	s.setMachines(machinesByZone(zones, func(*machineGroup, *machineGroup) {}))
}

func oneDisk(s siteFile, zones []string) {
	machines := []machineGroup{{cpuShare: 0.9, fds: 4100, memoryMB: 284, zone: zones[0], count: 1, disk: true, counted: true}}
	for _, zone := range zones {
		machines = append(machines, machineGroup{cpuShare: 0.6, fds: 4100, memoryMB: 284, zone: zone, count: 2})
	}
	s.setMachines(machines)
	s.set("tolerate", "machines", 0)
}

// oneZone moves everything into the first zone.
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
