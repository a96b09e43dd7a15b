package audit

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/version"
)

const (
	maxAnswerBytes = auditlog.MaxReportBytes // of a sidecar's answer; times Concurrency, of memory
	maxHeaderBytes = 16 << 10
	maxListBytes   = 8 << 20 // of the list service's answer, as for sidecars
	maxPages       = 8       // consecutive calls at one sidecar, for the rest of a long log
)

// Client sends requests to sidecars and to the list service. It keeps no connections: a control listener accepts one call on
// each.
type Client struct {
	Concurrency int           // sidecars polled at a time, and so connections; 256 is a good value
	Timeout     time.Duration // of all calls at one sidecar
	client      *http.Client
}

// NewClient returns a client. The caller closes it.
func NewClient(concurrency int, timeout time.Duration) *Client {
	return &Client{Concurrency: concurrency, Timeout: timeout, client: &http.Client{
		Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true, DisableCompression: true,
			MaxResponseHeaderBytes: maxHeaderBytes},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (a *Client) Close() { a.client.CloseIdleConnections() }

// Request is a request to one sidecar.
type Request struct {
	Addr         string
	Since        uint64         // of its log: the last entry that is known already
	Sum          string         // that entry's checksum: if it has changed, all of the log is requested; "": none
	LastDuration time.Duration  // of the last request to it
	Order        *version.Order // to be sent before; nil: none
}

// Answer is the outcome of a Request.
type Answer struct {
	Report      *auditlog.Report // with the entries of all pages; nil: not reached
	Midpoint    version.Millis   // of the last call: Unix time by the auditor's clock
	Uncertainty version.Millis   // of the Report's Now against Midpoint: half of that call
	ReceivedAt  time.Time        // by the auditor's clock
	Duration    time.Duration
	Err         error // why it was not reached
	OrderErr    error // why the order was rejected; nil also where there was none
}

// Do sends the requests, Concurrency at a time, and returns the answers in the requests' order. When ctx is done it returns:
// sidecars that had not answered then count as not reached.
func (a *Client) Do(ctx context.Context, requests []Request) []Answer {
	answers := make([]Answer, len(requests))
	took := make([]time.Duration, len(requests))
	for i, q := range requests {
		took[i] = q.LastDuration
	}
	queue := newScheduler(took, max(1, a.Concurrency))
	done := make(chan struct{}, len(requests))
	for remaining := len(requests); remaining > 0; remaining-- {
		for index, ok := queue.next(); ok; index, ok = queue.next() {
			go func() {
				answers[index] = a.poll(ctx, requests[index])
				done <- struct{}{}
			}()
		}
		<-done
		queue.done()
	}
	return answers
}

// poll sends a sidecar its order, if there is one, and requests its log's new entries, page by page.
func (a *Client) poll(ctx context.Context, q Request) (out Answer) {
	start := time.Now()
	defer func() { out.ReceivedAt, out.Duration = time.Now(), time.Since(start) }()
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	if q.Order != nil {
		out.OrderErr = a.sendOrder(ctx, q.Addr, *q.Order)
	}
	since, restarted := max(1, q.Since), false
	for range maxPages {
		from := time.Now()
		text, err := a.call(ctx, http.MethodGet, fmt.Sprintf("http://%s/admin/audit?since=%d", q.Addr, since), nil, maxAnswerBytes)
		half := time.Since(from) / 2
		var r auditlog.Report
		if err == nil {
			r, err = auditlog.ParseReport(text)
		}
		if err != nil {
			if out.Report == nil {
				out.Err = err
			}
			return out // the rest of the log follows in the next round
		}
		out.Midpoint, out.Uncertainty = millis(from.Add(half)), version.Millis(half.Milliseconds()+1)
		unchanged := q.Sum == "" || len(r.Entries) > 0 && r.Entries[0].Seq == q.Since && r.Entries[0].Sum == q.Sum
		if out.Report == nil && !restarted && (r.Next < since || !unchanged) { // the log has begun anew, or was changed
			since, restarted = 1, true
			continue
		}
		if out.Report != nil {
			r.Entries = append(out.Report.Entries, r.Entries...)
			r.Entries = r.Entries[max(0, len(r.Entries)-maxEntries):]
		}
		out.Report = &r
		if len(text) < maxAnswerBytes/2 || r.Next <= since {
			return out
		}
		since = r.Next
	}
	return out
}

// sendOrder sends an order.
func (a *Client) sendOrder(ctx context.Context, addr string, o version.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("audit: order: %w", err)
	}
	_, err = a.call(ctx, http.MethodPost, "http://"+addr+"/admin/floor", body, maxAnswerBytes)
	return err
}

// List requests the current list from the list service.
func (a *Client) List(ctx context.Context, addr string) (version.List, error) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	text, err := a.call(ctx, http.MethodGet, "http://"+addr+"/catalog/members", nil, maxListBytes)
	if err != nil {
		return version.List{}, err
	}
	if !gjson.ValidBytes(text) {
		return version.List{}, fmt.Errorf("audit: the list service's %d bytes are no JSON", len(text))
	}
	l, err := cluster.ParseList(gjson.ParseBytes(text))
	if err == nil && !l.Complete {
		err = errors.New("audit: the list service tells a part of its list alone")
	}
	if err != nil {
		return version.List{}, err
	}
	return version.List{From: addr, Revision: l.Revision, Digest: l.Digest()}, nil
}

// call makes a call. An answer that isn't 200 or has more than maxBytes is an error.
func (a *Client) call(ctx context.Context, method, url string, body []byte, maxBytes int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	res, err := a.client.Do(req)
	if err != nil {
		return nil, a.shortError(err)
	}
	defer func() { _ = res.Body.Close() }()
	text, err := readLimited(res.Body, maxBytes)
	if err != nil {
		return nil, a.shortError(err)
	}
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("audit: answer %d: %.100q", res.StatusCode, bytes.TrimSpace(text))
	}
	return text, nil
}

// shortError removes from an error what is shown beside it anyway, the called address.
func (a *Client) shortError(err error) error {
	var call *url.Error
	if errors.As(err, &call) {
		err = call.Err
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("audit: no answer within %v", a.Timeout)
	}
	return fmt.Errorf("audit: %w", err)
}

// readLimited reads all of r; more than maxBytes are an error.
func readLimited(r io.Reader, maxBytes int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err == nil && int64(len(text)) > maxBytes {
		err = fmt.Errorf("longer than %d bytes", maxBytes)
	}
	return text, err
}

func millis(t time.Time) version.Millis { return version.Millis(t.UnixMilli()) }
