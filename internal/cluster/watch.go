package cluster

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/balance"
)

const (
	watchWait   = 20 * time.Second       // how long discovery may hold a call that waits
	answerIn    = 2 * time.Second        // and how long beyond that it may be silent
	redialAfter = 100 * time.Millisecond // well within the 200 ms that keep a watch going
	listMost    = 8 << 20                // bytes of an answer
)

// Watcher follows discovery over HTTP/1.1 and applies what it hears.
type Watcher struct {
	Addr  string
	Table *Table
	Log   zerolog.Logger

	conn net.Conn
	in   *bufio.Reader
}

// Run fetches the list and then watches its changes until ctx ends. The first fetch closes synced. A
// silent or broken agent costs nothing but its news: the list that is held stays in force.
func (w *Watcher) Run(ctx context.Context, synced func()) {
	revision, have, failing := int64(0), false, false
	for ctx.Err() == nil {
		target, wait := "/catalog/members", time.Duration(0)
		if have {
			target = fmt.Sprintf("/catalog/members?since=%d&timeout_ms=%d", revision, watchWait.Milliseconds())
			wait = watchWait
		}
		list, err := w.call(ctx, target, wait+answerIn)
		if err != nil {
			w.hangUp()
			if !failing && ctx.Err() == nil { // once, not ten times a second for as long as it is down
				w.Log.Warn().Err(err).Msg("discovery did not answer")
			}
			failing = true
			sleep(ctx, redialAfter)
			continue
		}
		if failing {
			failing = false
			w.Log.Info().Msg("discovery answers again")
		}
		kind := balance.ListDelta
		if list.Complete {
			kind = balance.ListFull
		}
		w.Table.Apply(kind, list)
		if list.Complete || len(list.Members) > 0 {
			w.Log.Info().Int64("revision", list.Revision).Bool("complete", list.Complete).
				Int("members", len(list.Members)).Msg("cluster changed")
		}
		if revision = list.Revision; !have {
			have = true
			synced()
		}
	}
	w.hangUp()
}

// call makes one call on the kept connection, or a new one.
func (w *Watcher) call(ctx context.Context, target string, within time.Duration) (List, error) {
	if w.conn == nil {
		d := net.Dialer{Timeout: answerIn}
		conn, err := d.DialContext(ctx, "tcp", w.Addr)
		if err != nil {
			return List{}, fmt.Errorf("cluster: dial: %w", err)
		}
		w.conn, w.in = conn, bufio.NewReader(conn)
	}
	if err := w.conn.SetDeadline(time.Now().Add(within)); err != nil {
		return List{}, fmt.Errorf("cluster: deadline: %w", err)
	}
	defer context.AfterFunc(ctx, func() { _ = w.conn.SetDeadline(time.Unix(1, 0)) })()
	if _, err := fmt.Fprintf(w.conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, w.Addr); err != nil {
		return List{}, fmt.Errorf("cluster: write: %w", err)
	}
	res, err := http.ReadResponse(w.in, nil)
	if err != nil {
		return List{}, fmt.Errorf("cluster: read: %w", err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, listMost))
	if err != nil {
		return List{}, fmt.Errorf("cluster: read: %w", err)
	}
	if res.StatusCode != http.StatusOK || !gjson.ValidBytes(body) {
		return List{}, fmt.Errorf("cluster: answer %d of %d bytes is no list", res.StatusCode, len(body))
	}
	list, err := ParseList(gjson.ParseBytes(body))
	if err == nil && res.Close {
		w.hangUp()
	}
	return list, err
}

func (w *Watcher) hangUp() {
	if w.conn != nil {
		_ = w.conn.Close() // nothing is lost: all that it said has been read
		w.conn, w.in = nil, nil
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
