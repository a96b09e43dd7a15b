package budget

import "time"

// HasLoop reports whether a request that has come through the services of path is in a loop if it goes to one: whether it has
// been there more than maxReentries times.
func HasLoop(path []string, service string, maxReentries int) bool {
	visits := 0
	for _, visited := range path {
		if visited == service {
			visits++
		}
	}
	return visits > maxReentries
}

// AppendService returns the path with one more service; of a path that is full the oldest but for the first is left out.
func AppendService(path []string, service string) []string {
	out := append(append(make([]string, 0, len(path)+1), path...), service)
	if len(out) > maxPath {
		out = append(out[:1], out[2:]...)
	}
	return out
}

// ValidService reports whether a text may name a service: letters, digits, "-" and "_", 24 at most.
func ValidService(name string) bool {
	for i := range len(name) {
		c := name[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_') {
			return false
		}
	}
	return name != "" && len(name) <= maxService
}

// ownOverhead is what a sidecar needs to pass an answer on before its caller disconnects.
const ownOverhead = 3 * time.Millisecond

// PropagatedTimeout is the time that the next tier is told it has, of what remains here: less the round trip to it, and what
// this sidecar needs to pass the answer on. It is never negative.
func PropagatedTimeout(remaining, roundTrip time.Duration) time.Duration {
	return max(0, remaining-roundTrip-ownOverhead)
}
