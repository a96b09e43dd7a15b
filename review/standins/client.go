package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for one request; status 0: none.
type answer struct {
	status    int
	header    http.Header
	body      string
	signature string
	complete  bool
	err       error
	took      time.Duration
}

func (a *answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("status %d, signature %q, %d bytes, complete %v", a.status, a.signature, len(a.body), a.complete)
}

// send sends one request on a connection of its own and reads the answer until the deadline and a second more.
func send(address, method, path, host, id, key string, deadline time.Duration, extra map[string]string, body []byte) *answer {
	start := time.Now()
	a := &answer{}
	defer func() { a.took = time.Since(start) }()
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(start.Add(deadline + time.Second))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if key != "" {
		fmt.Fprintf(&head, "Api-Key: %s\r\n", key)
	}
	for name, value := range extra {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(body))
	if _, err := c.Write(append([]byte(head.String()), body...)); err != nil {
		a.err = err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header, a.signature = response.StatusCode, response.Header, response.Header.Get("X-Response-Signature")
	text, err := io.ReadAll(response.Body)
	a.body, a.err, a.complete = string(text), err, err == nil
	return a
}
