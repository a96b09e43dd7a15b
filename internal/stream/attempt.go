package stream

import (
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/driver"
)

// attempt is one upstream request, the n-th of its stream. However it ends, its outcome is reported once. It has crossed if the
// version that the decisions act on has changed since the stream's first attempt.
func (p *Proxy) attempt(s decidedStream, send driver.Send, crossed bool, req attemptRequest, n int, answers chan Response) {
	status, res := balance.Reset, Response{Outcome: Failed} // the outcome after a panic: it may have run
	effect, remembered := p.InFlight.AttemptStarted(time.Now(), req.Txn, send.Endpoint)
	if p.AuditLog != nil {
		p.AuditLog.Sent(send.Version, req.Class, send.Endpoint, crossed)
	}
	defer func() {
		if p.AuditLog != nil {
			neverSent := status == balance.ConnectFailed || status == balance.NotSent
			p.AuditLog.Ended(send.Version, req.Class, send.Endpoint, neverSent, status == balance.Cancelled)
		}
		p.InFlight.AttemptEnded(req.Txn, effect, mayHaveRun(status))
		p.release(req.Txn, func(r *Record) { r.Attempts[n].Status, r.Attempts[n].EndedAt = status, time.Now() })
		if fault := recover(); fault != nil {
			p.Log.Error().Interface("panic", fault).Msg("upstream request failed")
		}
		outcome := driver.Outcome{Status: status, Final: final(status, res.Outcome), RetriedBelow: res.Report.Known || req.Upload.partlyRead()}
		if s.ReportOutcome(send.Attempt, outcome) {
			deliver(res, req.Request, answers)
		} else {
			res.discard()
		}
	}()
	if remembered && p.FlushJournal != nil {
		p.FlushJournal()
	}
	if p.Gate != nil && !p.Gate.AllowsAttempts() {
		status = balance.NotSent
		return
	}
	status, res = p.Upstream.Do(send.Ctx, send.Endpoint, send.Deadline, req.Request)
	req.reportAttempt(res.Report)
}

// mayHaveRun reports whether an attempt that has ended so may have taken effect.
func mayHaveRun(status balance.Status) bool {
	return status != balance.Rejected && status != balance.ConnectFailed && status != balance.NotSent
}

// final reports whether an attempt's answer is one for the client.
func final(status balance.Status, outcome Outcome) bool {
	return status == balance.OK || outcome == InvalidRequest || outcome == Oneway || outcome == BodyIncomplete
}

// deliver passes the final answer to the stream, or discards it where the stream has ended meanwhile.
func deliver(res Response, req *Request, answers chan Response) {
	answers <- res
	select {
	case <-req.state.done:
		discardPending(answers)
	default:
	}
}
