package budget

import "time"

// HasLoop reports whether a request with the given path is in a loop if it is sent to service: whether the path
// contains that service more than maxReentries times.
func HasLoop(path []string, service string, maxReentries int) bool {
	visits := 0
	for _, visited := range path {
		if visited == service {
			visits++
		}
	}
	return visits > maxReentries
}

// AppendService returns a copy of path with service at its end. If that has more than maxPathServices, the second
// service is dropped, so that the first one is kept.
func AppendService(path []string, service string) []string {
	extended := append(append(make([]string, 0, len(path)+1), path...), service)
	if len(extended) > maxPathServices {
		extended = append(extended[:1], extended[2:]...)
	}
	return extended
}

// ValidService reports whether name is a valid name of a service: 1 to 24 ASCII letters, digits, "-" and "_".
func ValidService(name string) bool {
	for i := range len(name) {
		c := name[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_') {
			return false
		}
	}
	return name != "" && len(name) <= maxServiceBytes
}

// forwardingOverhead is the time that a sidecar needs to forward an answer before its caller disconnects.
const forwardingOverhead = 3 * time.Millisecond

// PropagatedTimeout returns the time-out to announce to the next tier: the remaining time less the round trip to that
// tier and the time that this sidecar needs to forward the answer. It is never negative.
func PropagatedTimeout(remaining, roundTrip time.Duration) time.Duration {
	return max(0, remaining-roundTrip-forwardingOverhead)
}
