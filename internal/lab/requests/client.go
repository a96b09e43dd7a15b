package requests

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/lab/machines"
)

const (
	clientDeadline  = 1500 * time.Millisecond
	slowDeadline    = 9 * time.Second // of a request whose body is sent slowly
	patienceBeyond  = time.Second     // beyond its deadline, until a client gives a request up
	minClientPause  = time.Millisecond
	maxClientPause  = 60 * time.Millisecond
	shortBodyBytes  = 2 << 10
	longBodyBytes   = 6 << 20 // more than the sockets' buffers hold
	longBodyShare   = 20      // one request of so many has a long body
	slowBodyShare   = 60      // one request of so many has a slow body
	slowBodyPieces  = 10
	minPiecePause   = 100 * time.Millisecond
	maxPiecePause   = 700 * time.Millisecond
	routerTurnShare = 40 // after one request of so many a client goes on at another router
)

// client sends one request after the other. It keeps its connections for as long as the router does, and goes on at another router when it
// gets no response.
type client struct {
	name     string
	recorder *recorder
	random   *rand.Rand
	fronts   []string
	held     *heldKeys
	router   int
	sent     int
	http     *http.Client
}

func newClient(name string, seed uint64, recorder *recorder, fronts []string, held *heldKeys) *client {
	random := rand.New(rand.NewPCG(seed, 3))
	return &client{
		name: name, recorder: recorder, random: random, fronts: fronts, held: held, router: random.IntN(len(fronts)),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}},
	}
}

func (c *client) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for machines.Pause(ctx, machines.Between(c.random, minClientPause, maxClientPause)) {
		request := c.send(c.drawKey())
		if request.Status == 0 || c.random.IntN(routerTurnShare) == 0 {
			c.router = c.random.IntN(len(c.fronts))
		}
	}
}

// drawKey draws a key, most often one that the configuration holds, or else one that it holds at times; some requests have one that nobody
// ever holds, or none.
func (c *client) drawKey() string {
	held := c.held.load()
	switch draw := c.random.IntN(20); {
	case draw == 0:
		return unknownKey
	case draw == 1:
		return ""
	case draw < 14 && len(held) > 0:
		return held[c.random.IntN(len(held))]
	}
	return keyOf(c.random.IntN(tenantCount), c.random.IntN(keysPerTenant))
}

// send sends a request and records it.
func (c *client) send(key string) *Request {
	c.sent++
	isSlow := c.random.IntN(slowBodyShare) == 0
	route := routes[c.random.IntN(len(routes)-1)]
	if isSlow {
		route = routes[len(routes)-1]
	}
	request := &Request{
		ID: fmt.Sprintf("%s-%d", c.name, c.sent), Route: route.name, Idempotent: route.idempotent, Key: key, Router: c.fronts[c.router],
		BodyBytes: c.random.IntN(shortBodyBytes),
	}
	if c.random.IntN(longBodyShare) == 0 && !isSlow {
		request.BodyBytes = longBodyBytes
	}
	var body io.Reader = strings.NewReader(bodyOf(request.ID, request.BodyBytes))
	if isSlow {
		slow := c.newSlowBody(request)
		defer func() { request.BodySent = slow.sentAt() }()
		body = slow
	}
	request.Sent = c.recorder.now()
	c.exchange(request, route.prefix, route.timeout, body)
	request.Ended = c.recorder.now()
	c.recorder.addRequest(request)
	return request
}

func (c *client) exchange(request *Request, prefix string, deadline time.Duration, body io.Reader) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+patienceBeyond)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+request.Router+prefix+request.ID, body)
	if err != nil {
		return
	}
	message.Host = "h"
	message.Header.Set("X-Request-Id", request.ID)
	message.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if request.Key != "" {
		message.Header.Set("Api-Key", request.Key)
	}
	response, err := c.http.Do(message)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	request.Status, request.Signature = response.StatusCode, response.Header.Get("X-Response-Signature")
	request.Body, request.Complete = string(text), err == nil
}
