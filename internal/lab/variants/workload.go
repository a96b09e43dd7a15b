package variants

import "maps"

// workloadVariants are variants of a site with other engines or another load, by name; the machines stay, but for few-routers.
var workloadVariants = map[string]transformation{
	"other-engine":   otherEngine,
	"fewer-engines":  fewerEngines,
	"few-routers":    fewRouters,
	"long-prompts":   longPrompts,
	"nothing-resume": nothingResumes,
	"tight-aims":     tightAims,
}

// engines calls change with each service that has engines, and with their figures.
func (s siteFile) forEachEngine(change func(service, engine map[string]any)) {
	for _, service := range s.tables("services") {
		if engine, is := service["llm"].(map[string]any); is {
			change(service, engine)
		}
	}
}

// otherEngine reads faster and hardly slows with a prompt's length, in smaller pieces.
func otherEngine(s siteFile, _ []string) {
	s.forEachEngine(func(_, engine map[string]any) {
		maps.Copy(engine, map[string]any{
			"prefill_tokens_per_ms": 112.0, "pairs_ms_per_m": 0.06, "chunk": int64(1024), "step_ms": 3.23, "first_ms": 47.0,
		})
	})
}

// fewerEngines are seven in ten of the endpoints.
func fewerEngines(s siteFile, _ []string) {
	s.forEachEngine(func(service, _ map[string]any) {
		for _, servers := range siteFile(service).tables("servers") {
			if count, is := servers["count"].(int64); is {
				servers["count"] = max(1, count*7/10)
			}
		}
	})
}

// fewRouters are three a zone, one of them with a disk.
func fewRouters(s siteFile, zones []string) {
	var machines []machineGroup
	for _, zone := range zones {
		machines = append(machines,
			machineGroup{cpuShare: 0.72, fds: 4100, memoryMB: 284, zone: zone, count: 1, disk: true, counted: true},
			machineGroup{cpuShare: 0.72, fds: 4100, memoryMB: 284, zone: zone, count: 2})
	}
	s.setMachines(machines)
	s.set("tolerate", "machines", int64(1))
	for _, day := range s.tables("day") {
		delete(day, "small")
	}
}

// longPrompts has the least urgent kind of requests come twice as often, and the others half as often.
func longPrompts(s siteFile, _ []string) {
	last, name := int64(-1), ""
	for _, class := range s.tables("classes") {
		if priority, is := class["priority"].(int64); is && priority > last {
			last, name = priority, class["name"].(string)
		}
	}
	change := func(of siteFile) {
		for _, traffic := range of.tables("traffic") {
			mix, _ := traffic["mix"].(map[string]any)
			for class, share := range mix {
				factor := 0.5
				if class == name {
					factor = 2
				}
				mix[class] = factor * toFloat(share)
			}
		}
	}
	change(s)
	for _, day := range s.tables("day") {
		change(day)
	}
}

// nothingResumes lets no stream be taken up at another endpoint.
func nothingResumes(s siteFile, _ []string) {
	for _, class := range s.tables("classes") {
		if stream, is := class["stream"].(map[string]any); is {
			stream["resume"] = false
		}
		class["attempts"] = int64(1)
	}
}

// tightAims are seven tenths of the site's.
func tightAims(s siteFile, _ []string) {
	for _, class := range s.tables("classes") {
		if aim := toFloat(class["aim_ms"]); aim > 0 {
			class["aim_ms"] = 0.7 * aim
		}
	}
}

// number is a figure of a site file, whichever way it is written; 0 where it is none.
func toFloat(value any) float64 {
	switch n := value.(type) {
	case int64:
		return float64(n)
	case float64:
		return n
	}
	return 0
}
