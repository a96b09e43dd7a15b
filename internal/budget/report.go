package budget

import "strconv"

// ReportHeader is the HTTP header of an AttemptReport. It is sent with an answer, up the chain of tiers. A server adds
// up the reports of its calls and sends the sum with its own answer. On a failure, the header tells the tiers above
// that the request was already retried further down, where the least work is repeated, so that they need not retry it.
const ReportHeader = "X-Tried-Again"

// maxReportedAttempts is the maximum number in the header.
const maxReportedAttempts = 255

// AttemptReport is the number of extra attempts that an answer took, here and below. The zero value means that nothing
// was reported.
type AttemptReport struct {
	Known         bool
	ExtraAttempts int
}

// ParseReport parses the header. An invalid header gives a report that is not Known.
func ParseReport(header string) AttemptReport {
	n, err := strconv.ParseUint(header, 10, 8)
	return AttemptReport{Known: err == nil, ExtraAttempts: int(n)}
}

// String returns the header's value, or "" if nothing was reported.
func (r AttemptReport) String() string {
	if !r.Known {
		return ""
	}
	return strconv.Itoa(min(r.ExtraAttempts, maxReportedAttempts))
}

// Add returns the sum of the reports of two calls of a server. It is Known only if both are.
func (r AttemptReport) Add(other AttemptReport) AttemptReport {
	return AttemptReport{Known: r.Known && other.Known, ExtraAttempts: r.ExtraAttempts + other.ExtraAttempts}
}
