package budget

import "strconv"

// ReportHeader is the HTTP header of an AttemptReport. It goes with an answer, up the chain. A server sums up what its calls
// report and passes that on with its own answer, also with a failure, where it says that the request has been retried already,
// where the least work is repeated, so that nobody above need retry it.
const ReportHeader = "X-Tried-Again"

// maxReported is the largest number that the header carries.
const maxReported = 255

// AttemptReport is how many extra attempts an answer took, here and below. The zero value is that nothing was reported.
type AttemptReport struct {
	Known         bool
	ExtraAttempts int
}

// ParseReport parses the header; an invalid one reports nothing.
func ParseReport(header string) AttemptReport {
	n, err := strconv.ParseUint(header, 10, 8)
	return AttemptReport{Known: err == nil, ExtraAttempts: int(n)}
}

// String is the header; "" where nothing is reported.
func (r AttemptReport) String() string {
	if !r.Known {
		return ""
	}
	return strconv.Itoa(min(r.ExtraAttempts, maxReported))
}

// Add is the report of two calls of a server together. Where one has reported nothing, nothing is known of both.
func (r AttemptReport) Add(other AttemptReport) AttemptReport {
	return AttemptReport{Known: r.Known && other.Known, ExtraAttempts: r.ExtraAttempts + other.ExtraAttempts}
}
