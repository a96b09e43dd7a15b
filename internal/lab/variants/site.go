package variants

// siteFile is a site file's TOML document. Keys that a variant doesn't change are kept as they are.
type siteFile map[string]any

// machineGroup is a row of a site's machines: count machines of one kind.
type machineGroup struct {
	cpuShare float64 // of a core
	cores    int     // 0 is 1
	fds      int
	memoryMB int
	zone     string
	count    int
	disk     bool
	counted  bool // among the machines of which the site tolerates the loss
}

func (m machineGroup) table() map[string]any {
	table := map[string]any{
		"class":     "front",
		"cpu_share": m.cpuShare,
		"cores":     max(1, m.cores),
		"memory_mb": m.memoryMB,
		"fds":       m.fds,
		"link_mbps": 1000.0,
		"zone":      m.zone,
		"count":     m.count,
		"spare":     1,
	}
	if m.counted {
		table["counted"] = true
	}
	if m.disk {
		table["disk"] = map[string]any{"mb": 64, "sync_ms": 1, "mb_per_s": 120}
	}
	return table
}

// defaultMachines returns a zone's usual machines: a core machine with a disk and three others.
func defaultMachines(zone string) []machineGroup {
	return []machineGroup{
		{cpuShare: 0.72, fds: 4100, memoryMB: 284, zone: zone, count: 1, disk: true, counted: true},
		{cpuShare: 0.4, fds: 4100, memoryMB: 284, zone: zone, count: 3},
	}
}

// machinesByZone returns the machines of all zones. change changes a zone's default machines.
func machinesByZone(zones []string, change func(core, others *machineGroup)) []machineGroup {
	var machines []machineGroup
	for _, zone := range zones {
		groups := defaultMachines(zone)
		change(&groups[0], &groups[1])
		machines = append(machines, groups...)
	}
	return machines
}

func (s siteFile) setMachines(machines []machineGroup) {
	var rows []any
	for _, m := range machines {
		rows = append(rows, m.table())
	}
	s["machines"] = rows
}

// set sets a key of a table, if the site has the table.
func (s siteFile) set(table, key string, value any) {
	if t, ok := s[table].(map[string]any); ok {
		t[key] = value
	}
}

// tables returns the tables of an array.
func (s siteFile) tables(key string) []map[string]any {
	rows, _ := s[key].([]any)
	var tables []map[string]any
	for _, row := range rows {
		if table, ok := row.(map[string]any); ok {
			tables = append(tables, table)
		}
	}
	return tables
}

// zoneNames returns the names of the site's zones.
func (s siteFile) zoneNames() []string {
	var names []string
	for _, zone := range s.tables("zones") {
		if name, ok := zone["name"].(string); ok {
			names = append(names, name)
		}
	}
	return names
}

// forEachEngine calls change with each service that has engines, and with its engines' figures.
func (s siteFile) forEachEngine(change func(service, engine map[string]any)) {
	for _, service := range s.tables("services") {
		if engine, ok := service["llm"].(map[string]any); ok {
			change(service, engine)
		}
	}
}

// setClientZone has all clients come from one zone.
func (s siteFile) setClientZone(zone string) {
	for _, traffic := range s.tables("traffic") {
		traffic["zone"] = zone
	}
}

// toFloat returns a number that may be written as an integer or as a float, and 0 for anything else.
func toFloat(value any) float64 {
	switch n := value.(type) {
	case int64:
		return float64(n)
	case float64:
		return n
	}
	return 0
}
