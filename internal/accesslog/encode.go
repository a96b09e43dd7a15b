package accesslog

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/stream"
)

// beginLine begins a line.
func beginLine(b []byte, kind string) []byte {
	b = append(b, prefix...)
	b = append(b, kind...)
	return append(b, '"')
}

// endLine ends a line.
func endLine(b []byte) []byte { return append(b, '}', '\n') }

// appendKey appends the key of the next value.
func appendKey(b []byte, name string) []byte {
	b = append(b, ',', '"')
	b = append(b, name...)
	return append(b, '"', ':')
}

// appendNumber appends a whole number, unless it is 0, which readers assume for an absent key.
func appendNumber(b []byte, name string, n int64) []byte {
	if n == 0 {
		return b
	}
	return strconv.AppendInt(appendKey(b, name), n, 10)
}

// appendMillis appends a duration in milliseconds, rounded to 0.1 ms.
func appendMillis(b []byte, d time.Duration) []byte {
	tenths := d.Round(100*time.Microsecond).Microseconds() / 100
	if tenths < 0 {
		b, tenths = append(b, '-'), -tenths
	}
	b = strconv.AppendInt(b, tenths/10, 10)
	if tenths%10 != 0 {
		b = append(b, '.', byte('0'+tenths%10))
	}
	return b
}

// appendText appends a JSON string. Plain words, as nearly all are, need no check of what has to be escaped.
func appendText(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return gjson.AppendJSONString(b, s)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// appendStart appends a header.
func appendStart(b []byte, start time.Time, c *config.Config) []byte {
	b = appendNumber(beginLine(b, kindStart), "v", Version)
	b = appendText(appendKey(b, "name"), c.Name)
	b = strconv.AppendInt(appendKey(b, "at"), start.UnixMilli(), 10)
	b = strconv.AppendFloat(appendKey(b, "cores"), c.Limits.Cores, 'g', -1, 64)
	b = strconv.AppendInt(appendKey(b, "memory_mb"), int64(c.Limits.MemoryMB), 10)
	b = strconv.AppendInt(appendKey(b, "sockets"), int64(c.Limits.Sockets), 10)
	var site bytes.Buffer
	if json.Compact(&site, []byte(c.RawSettings)) != nil {
		site.WriteString("{}") // it was parsed before, so this can't happen
	}
	return endLine(append(appendKey(b, "settings"), site.Bytes()...))
}

// appendCluster appends a list of endpoints.
func appendCluster(b []byte, at time.Duration, list ListKind, members []cluster.Member) []byte {
	b = appendMillis(appendKey(beginLine(b, kindCluster), "t"), at)
	b = appendText(appendKey(b, "list"), lists[list])
	b = append(appendKey(b, "hosts"), '[')
	for i := range members {
		m := &members[i]
		if i > 0 {
			b = append(b, ',')
		}
		b = appendText(append(b, `{"id":`...), m.ID)
		b = appendText(appendKey(b, "phase"), phases[m.State])
		if m.State != balance.Removed {
			b = appendText(appendKey(b, "kind"), m.Kind)
			b = appendText(appendKey(b, "zone"), m.Zone)
			b = appendNumber(b, "cell", int64(m.Cell))
			b = strconv.AppendFloat(appendKey(b, "weight"), m.Weight, 'g', -1, 64)
			b = appendNumber(b, "up", m.UpSince.Milliseconds())
		}
		b = append(b, '}')
	}
	return endLine(append(b, ']'))
}

// appendStream appends a stream; name returns the endpoints' ids.
func appendStream(b []byte, start time.Time, l *stream.Record, name func(balance.EndpointID) string) []byte {
	req := l.Request
	b = appendMillis(appendKey(beginLine(b, kindStream), "t"), req.Arrived.Sub(start))
	b = appendText(appendKey(b, "class"), req.ClassName)
	b = appendMillis(appendKey(b, "left"), req.Deadline.Sub(req.Arrived))
	if req.ClientRetry {
		b = append(appendKey(b, "again"), "true"...)
	}
	b = appendNumber(b, "body", int64(len(req.Body)))
	for i := range l.Attempts {
		a := &l.Attempts[i]
		if i == 0 {
			b = append(appendKey(b, "tries"), '[')
		} else {
			b = append(b, ',')
		}
		b = appendText(append(b, '['), name(a.Endpoint))
		b = appendMillis(append(b, ','), a.StartedAt.Sub(req.Arrived))
		b = appendMillis(append(b, ','), a.EndedAt.Sub(a.StartedAt))
		b = append(appendText(append(b, ','), statuses[a.Status]), ']')
	}
	if len(l.Attempts) > 0 {
		b = append(b, ']')
	}
	b = appendText(appendKey(b, "end"), outcomes[l.Response.Outcome])
	b = appendMillis(appendKey(b, "after"), l.AnsweredAt.Sub(req.Arrived))
	if l.Response.RetryAfter > 0 {
		b = appendMillis(appendKey(b, "retry_after"), l.Response.RetryAfter)
	}
	return endLine(b)
}

// appendLost appends the counts of a loss.
func appendLost(b []byte, l Loss) []byte {
	b = appendMillis(appendKey(beginLine(b, kindLost), "t"), l.From)
	b = appendMillis(appendKey(b, "until"), l.Until)
	b = appendNumber(b, "rate", int64(l.Rate))
	b = appendNumber(b, "sink", int64(l.Sink))
	b = appendNumber(b, "log", int64(l.Log))
	return endLine(appendNumber(b, "open", int64(l.Open)))
}
