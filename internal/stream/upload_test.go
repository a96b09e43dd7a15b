package stream

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
)

// requestUpstream is an upstream side that sees the request.
type requestUpstream func(req *Request) (balance.Status, Response)

func (f requestUpstream) Do(_ context.Context, _ balance.EndpointID, _ time.Time, req *Request) (balance.Status, Response) {
	return f(req)
}

func uploadRequest(class int, timeout time.Duration) *Request {
	r := request(class, MaxUploadTime)
	r.Upload = NewUpload(strings.NewReader("rest"), -1, timeout)
	return r
}

// Guards against half of a body being sent as a complete one: what was read of it is gone, and only what was not may go to
// another endpoint. Nothing ran in either case, and so it is rejected, not failed.
func TestPartlyReadUploadIsNotRetried(t *testing.T) {
	for _, read := range []bool{false, true} {
		visits := 0
		p := newProxy(t, 3, nil)
		p.Upstream = requestUpstream(func(req *Request) (balance.Status, Response) {
			visits++
			if read {
				_, _ = req.Upload.Read(make([]byte, 2))
			}
			return balance.ConnectFailed, Response{Outcome: Failed}
		})
		res := p.Serve(context.Background(), uploadRequest(1, time.Minute))
		if res.Outcome != RejectedLocally || (visits == 1) != read {
			t.Errorf("read %v: outcome %d after %d visits", read, res.Outcome, visits)
		}
	}
}

// Guards against a client's time that runs while its body still comes, and one that does not run afterwards.
func TestTimeRunsFromLastByte(t *testing.T) {
	p := newProxy(t, 1, nil)
	p.Upstream = requestUpstream(func(req *Request) (balance.Status, Response) {
		<-time.After(200 * time.Millisecond) // longer than the client waits: the time itself is what is tested
		req.Upload.Done()
		return balance.OK, Response{Body: []byte("lens")}
	})
	if res := p.Serve(context.Background(), uploadRequest(1, 100*time.Millisecond)); res.Outcome != Served {
		t.Errorf("outcome %d of a body that took its time", res.Outcome)
	}
	out := make(chan struct{})
	p.Upstream = requestUpstream(func(req *Request) (balance.Status, Response) {
		req.Upload.Done()
		<-out
		return balance.Cancelled, Response{Outcome: Failed}
	})
	res := p.Serve(context.Background(), uploadRequest(1, 100*time.Millisecond))
	close(out)
	if res.Outcome != DeadlineExceeded && res.Outcome != Failed {
		t.Errorf("outcome %d of one without an answer in time", res.Outcome)
	}
}

// Guards against a cut body counting against its endpoint, or being retried elsewhere.
func TestIncompleteBody(t *testing.T) {
	visits := 0
	p := newProxy(t, 3, nil)
	p.Upstream = requestUpstream(func(*Request) (balance.Status, Response) {
		visits++
		return balance.Cancelled, Response{Outcome: BodyIncomplete}
	})
	if res := p.Serve(context.Background(), uploadRequest(1, time.Minute)); res.Outcome != BodyIncomplete || visits != 1 {
		t.Errorf("outcome %d after %d visits", res.Outcome, visits)
	}
}

// closableRest is the rest of an answer that knows whether it has been closed.
type closableRest struct{ closed chan struct{} }

func (k *closableRest) Read([]byte) (int, error) { return 0, errors.New("never read") }
func (k *closableRest) Interrupt()               {}
func (k *closableRest) Close()                   { close(k.closed) }

// Guards against an answer that comes too late for its stream holding on to its connection.
func TestLateAnswerIsClosed(t *testing.T) {
	k := &closableRest{make(chan struct{})}
	client, disconnect := context.WithCancel(context.Background())
	p := newProxy(t, 1, func(ctx context.Context, _ balance.EndpointID) (balance.Status, Response) {
		disconnect()
		<-ctx.Done()
		return balance.OK, Response{Rest: k}
	})
	if res := p.Serve(client, request(0, time.Minute)); res.Outcome != ClientGone {
		t.Errorf("outcome %d", res.Outcome)
	}
	<-k.closed
}
