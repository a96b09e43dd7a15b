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

// begin begins a line.
func begin(b []byte, kind string) []byte {
	b = append(b, prefix...)
	b = append(b, kind...)
	return append(b, '"')
}

// end ends one.
func end(b []byte) []byte { return append(b, '}', '\n') }

// key appends the key of the next value.
func key(b []byte, name string) []byte {
	b = append(b, ',', '"')
	b = append(b, name...)
	return append(b, '"', ':')
}

// number appends a whole number, unless it is 0, which readers take for a key that is absent.
func number(b []byte, name string, n int64) []byte {
	if n == 0 {
		return b
	}
	return strconv.AppendInt(key(b, name), n, 10)
}

// ms appends a time in milliseconds, to 0.1 ms.
func ms(b []byte, d time.Duration) []byte {
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

// text appends a JSON string. Plain words, as nearly all are, need no look at what has to be escaped.
func text(b []byte, s string) []byte {
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
	b = number(begin(b, kindStart), "v", Version)
	b = text(key(b, "name"), c.Name)
	b = strconv.AppendInt(key(b, "at"), start.UnixMilli(), 10)
	b = strconv.AppendFloat(key(b, "cores"), c.Limits.Cores, 'g', -1, 64)
	b = strconv.AppendInt(key(b, "memory_mb"), int64(c.Limits.MemoryMB), 10)
	b = strconv.AppendInt(key(b, "sockets"), int64(c.Limits.Sockets), 10)
	var site bytes.Buffer
	if json.Compact(&site, []byte(c.Site)) != nil {
		site.WriteString("{}") // it has been read before, so this can't be
	}
	return end(append(key(b, "settings"), site.Bytes()...))
}

// appendCluster appends a list.
func appendCluster(b []byte, at time.Duration, list List, members []cluster.Member) []byte {
	b = ms(key(begin(b, kindCluster), "t"), at)
	b = text(key(b, "list"), lists[list])
	b = append(key(b, "hosts"), '[')
	for i := range members {
		m := &members[i]
		if i > 0 {
			b = append(b, ',')
		}
		b = text(append(b, `{"id":`...), m.ID)
		b = text(key(b, "phase"), phases[m.State])
		if m.State != balance.Gone {
			b = text(key(b, "kind"), m.Kind)
			b = text(key(b, "zone"), m.Zone)
			b = number(b, "cell", int64(m.Cell))
			b = strconv.AppendFloat(key(b, "weight"), m.Weight, 'g', -1, 64)
			b = number(b, "up", m.UpSince.Milliseconds())
		}
		b = append(b, '}')
	}
	return end(append(b, ']'))
}

// appendStream appends a stream; name gives the hosts' ids.
func appendStream(b []byte, start time.Time, l *stream.Record, name func(balance.EndpointID) string) []byte {
	req := l.Request
	b = ms(key(begin(b, kindStream), "t"), req.Arrived.Sub(start))
	b = text(key(b, "class"), req.ClassName)
	b = ms(key(b, "left"), req.Deadline.Sub(req.Arrived))
	if req.ClientRetry {
		b = append(key(b, "again"), "true"...)
	}
	b = number(b, "body", int64(len(req.Body)))
	for i := range l.Attempts {
		a := &l.Attempts[i]
		if i == 0 {
			b = append(key(b, "tries"), '[')
		} else {
			b = append(b, ',')
		}
		b = text(append(b, '['), name(a.Endpoint))
		b = ms(append(b, ','), a.StartedAt.Sub(req.Arrived))
		b = ms(append(b, ','), a.EndedAt.Sub(a.StartedAt))
		b = append(text(append(b, ','), statuses[a.Status]), ']')
	}
	if len(l.Attempts) > 0 {
		b = append(b, ']')
	}
	b = text(key(b, "end"), outcomes[l.Response.Outcome])
	b = ms(key(b, "after"), l.AnsweredAt.Sub(req.Arrived))
	if l.Response.RetryAfter > 0 {
		b = ms(key(b, "retry_after"), l.Response.RetryAfter)
	}
	return end(b)
}

// appendLost appends what is missing.
func appendLost(b []byte, l Lost) []byte {
	b = ms(key(begin(b, kindLost), "t"), l.From)
	b = ms(key(b, "until"), l.Until)
	b = number(b, "rate", int64(l.Rate))
	b = number(b, "sink", int64(l.Sink))
	b = number(b, "log", int64(l.Log))
	return end(number(b, "open", int64(l.Open)))
}
