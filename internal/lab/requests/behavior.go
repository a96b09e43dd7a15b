package requests

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"pinelb.example/pinelb/internal/lab/machines"
)

// exchange is one request at an endpoint.
type exchange struct {
	endpoint    *endpoint
	incarnation string
	conn        *net.TCPConn
	request     *http.Request
	id          string
	behavior    string
}

// behavior is a way in which an endpoint handles a request. act reports whether the connection stays open.
type behavior struct {
	name   string
	weight int
	act    func(x *exchange) bool
}

// behaviors are what the protocol allows. An endpoint that runs a request at its head begins to work on it before it has read the body.
var behaviors = []behavior{
	{"reads, runs, answers", 50, func(x *exchange) bool { return x.readBody() && x.answer(x.run(http.StatusOK)) }},
	{"reads, runs, answers late", 5, func(x *exchange) bool {
		if !x.readBody() {
			return false
		}
		run := x.run(http.StatusOK)
		x.endpoint.pause(300 * time.Millisecond)
		return x.answer(run)
	}},
	{"reads, runs, answers 500", 2, func(x *exchange) bool { return x.readBody() && x.answer(x.run(http.StatusInternalServerError)) }},
	{"reads, runs, answers 503 without saying that it did not run", 2, func(x *exchange) bool {
		return x.readBody() && x.answer(x.run(http.StatusServiceUnavailable))
	}},
	{"reads, runs, resets", 2, func(x *exchange) bool {
		if x.readBody() {
			x.run(http.StatusOK)
		}
		return x.reset()
	}},
	{"reads, runs, answers a half, resets", 3, func(x *exchange) bool {
		if x.readBody() {
			x.answerHalf(x.run(http.StatusOK))
		}
		return x.reset()
	}},
	{"reads, does not run", 4, func(x *exchange) bool { return x.readBody() && x.reject("503 Busy\r\nX-Not-Executed: 1") }},
	{"reads, says 421", 1, func(x *exchange) bool { return x.readBody() && x.reject("421 Misdirected Request") }},
	{"runs at the head, answers, reads on later", 12, func(x *exchange) bool {
		x.answer(x.run(http.StatusOK))
		x.endpoint.pause(time.Second)
		return x.readBody()
	}},
	{"runs at the head, answers, resets", 4, func(x *exchange) bool {
		x.answer(x.run(http.StatusOK))
		x.endpoint.pause(50 * time.Millisecond)
		return x.reset()
	}},
	{"runs at the head, answers, closes", 3, func(x *exchange) bool { x.answer(x.run(http.StatusOK)); return false }},
	{"runs at the head, resets", 4, func(x *exchange) bool {
		x.run(http.StatusOK)
		x.endpoint.pause(20 * time.Millisecond)
		return x.reset()
	}},
	{"runs at the head, reads a part, resets", 3, func(x *exchange) bool {
		x.run(http.StatusOK)
		_, _ = io.CopyN(io.Discard, x.request.Body, smallReceiveBuffer)
		return x.reset()
	}},
	{"runs at the head, never reads or answers", 2, func(x *exchange) bool {
		x.run(http.StatusOK)
		time.Sleep(silentTime)
		return false
	}},
	{"does not run at the head, reads on later", 5, func(x *exchange) bool {
		x.reject("503 Busy\r\nX-Not-Executed: 1")
		x.endpoint.pause(200 * time.Millisecond)
		return x.readBody()
	}},
}

// weightedBehaviors are the behaviors as choices.
var weightedBehaviors = func() (choices []machines.Weighted[*behavior]) {
	for i := range behaviors {
		choices = append(choices, machines.Weighted[*behavior]{Value: &behaviors[i], Weight: behaviors[i].weight})
	}
	return choices
}()

func (x *exchange) behave(b *behavior) bool {
	x.behavior = b.name
	return b.act(x)
}

// readBody reads the body and checks that it is what the client sent. It returns false if it is not complete.
func (x *exchange) readBody() bool {
	body, err := io.ReadAll(x.request.Body)
	if expected := bodyOf(x.id, len(body)); err == nil && string(body) != expected || err != nil && !hasPrefixOf(body, x.id) {
		x.endpoint.recorder.addFault(fmt.Sprintf("the endpoint %s received other bytes than the body of %s", x.incarnation, x.id))
		return false
	}
	return err == nil
}

// hasPrefixOf reports whether a body that was cut off is the beginning of a request's.
func hasPrefixOf(body []byte, id string) bool {
	whole := bodyOf(id, len(body)+len(id)+1)
	return len(body) <= len(whole) && string(body) == whole[:len(body)]
}

// run records that the endpoint begins to work on the request.
func (x *exchange) run(status int) *Run {
	e := x.endpoint
	e.mu.Lock()
	e.runs++
	number := e.runs
	e.mu.Unlock()
	run := &Run{
		ID: x.id, Endpoint: x.incarnation, Tenant: x.request.Header.Get("X-Tenant-Id"), Behavior: x.behavior, At: e.recorder.now(), Status: status,
		Signature: fmt.Sprintf("%s/%s/%d", x.id, x.incarnation, number),
	}
	e.recorder.addRun(run)
	return run
}

func (x *exchange) head(run *Run) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nX-Request-Id: %s\r\nX-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n", run.Status, x.id, run.Signature,
		len(answerBody(run.Signature)))
}

func (x *exchange) write(text string) bool {
	_, err := io.WriteString(x.conn, text)
	return err == nil
}

func (x *exchange) answer(run *Run) bool { return x.write(x.head(run) + answerBody(run.Signature)) }

func (x *exchange) answerHalf(run *Run) bool {
	body := answerBody(run.Signature)
	return x.write(x.head(run) + body[:len(body)/2])
}

func (x *exchange) reject(line string) bool {
	return x.write("HTTP/1.1 " + line + "\r\nX-Request-Id: " + x.id + "\r\nContent-Length: 0\r\n\r\n")
}

func (x *exchange) reset() bool {
	resetConnection(x.conn)
	return false
}
