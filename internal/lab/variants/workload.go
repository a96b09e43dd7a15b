package variants

import "maps"

// workloadVariants have other engines or another load than the site, by name. The machines are the same, except for
// few-routers.
var workloadVariants = map[string]transformation{
	"other-engine":   otherEngine,
	"fewer-engines":  fewerEngines,
	"few-routers":    fewRouters,
	"long-prompts":   longPrompts,
	"nothing-resume": nothingResumes,
	"tight-aims":     tightAims,
}

// otherEngine has engines with a faster prefill, in smaller chunks, that hardly slows down with the prompt's length.
func otherEngine(s siteFile, _ []string) {
	s.forEachEngine(func(_, engine map[string]any) {
		maps.Copy(engine, map[string]any{
			"prefill_tokens_per_ms": 112.0, "pairs_ms_per_m": 0.06, "chunk": int64(1024), "step_ms": 3.23, "first_ms": 47.0,
		})
	})
}

// fewerEngines has seven in ten of the engines' endpoints, one in each zone at least.
func fewerEngines(s siteFile, _ []string) {
	s.forEachEngine(func(service, _ map[string]any) {
		for _, servers := range siteFile(service).tables("servers") {
			if count, ok := servers["count"].(int64); ok {
				servers["count"] = max(1, count*7/10)
			}
		}
	})
}

// fewRouters has three routers a zone, one of them with a disk.
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

// longPrompts doubles the share of the least urgent class, which stands for long prompts here, and halves the others.
func longPrompts(s siteFile, _ []string) {
	lowest, name := int64(-1), "" // a greater number is a lower priority
	for _, class := range s.tables("classes") {
		if priority, ok := class["priority"].(int64); ok && priority > lowest {
			lowest, name = priority, class["name"].(string)
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

// nothingResumes has no stream resume at another endpoint, and no request retried.
func nothingResumes(s siteFile, _ []string) {
	for _, class := range s.tables("classes") {
		if stream, ok := class["stream"].(map[string]any); ok {
			stream["resume"] = false
		}
		class["attempts"] = int64(1)
	}
}

// tightAims has target latencies of seven tenths of the site's.
func tightAims(s siteFile, _ []string) {
	for _, class := range s.tables("classes") {
		if aim := toFloat(class["aim_ms"]); aim > 0 {
			class["aim_ms"] = 0.7 * aim
		}
	}
}
