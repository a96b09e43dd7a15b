package requests

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/machines"
)

const (
	heartbeatInterval  = 250 * time.Millisecond
	smallReceiveBuffer = 64 << 10 // bytes, of an endpoint's connections: who sends a long body has to wait for its reader
	silentTime         = 5 * time.Second
)

// endpoint is an emulated endpoint on a real socket. A crash ends its listener and connections; it comes back as another incarnation.
type endpoint struct {
	name     string
	ip       string
	recorder *recorder
	controls []string // control addresses of the routers

	mu          sync.Mutex
	random      *rand.Rand
	incarnation int
	listener    net.Listener
	conns       map[net.Conn]bool
	runs        int
	tasks       sync.WaitGroup
	crashing    sync.Mutex // held while it is down
}

// start listens at a port of its own, and serves until crash.
func (e *endpoint) start() error {
	listener, err := net.Listen("tcp4", e.ip+":0")
	if err != nil {
		return fmt.Errorf("requests: endpoint: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation++
	e.listener, e.conns = listener, map[net.Conn]bool{}
	id := fmt.Sprintf("%s-%d", e.name, e.incarnation)
	e.tasks.Go(func() { e.accept(listener, id) })
	return nil
}

func (e *endpoint) accept(listener net.Listener, id string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		isUp := e.listener == listener
		if isUp {
			e.conns[conn] = true
			e.tasks.Go(func() { e.serve(conn.(*net.TCPConn), id) })
		}
		e.mu.Unlock()
		if !isUp {
			resetConnection(conn)
		}
	}
}

// crash closes the listener and resets all connections.
func (e *endpoint) crash() {
	e.mu.Lock()
	_ = e.listener.Close()
	e.listener = nil
	for conn := range e.conns {
		resetConnection(conn)
	}
	e.mu.Unlock()
	e.tasks.Wait()
}

func resetConnection(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// sendHeartbeats announces the present incarnation until ctx ends.
func (e *endpoint) sendHeartbeats(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	router := 0
	for sequence := 1; ; sequence++ {
		e.mu.Lock()
		id, address := fmt.Sprintf("%s-%d", e.name, e.incarnation), ""
		if e.listener != nil {
			address = e.listener.Addr().String()
		}
		e.mu.Unlock()
		if address == "" { // it has crashed
			if !machines.Pause(ctx, heartbeatInterval) {
				return
			}
			continue
		}
		body := fmt.Sprintf(`{"service":"s","address":%q,"zone":"z0","capacity":64,"state":"ready","sequence":%d}`, address, sequence)
		url := fmt.Sprintf("http://%s/instances/%s/heartbeat", e.controls[router%len(e.controls)], id)
		response, err := client.Post(url, "application/json", strings.NewReader(body))
		if err != nil || response.StatusCode != http.StatusOK {
			router++
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if !machines.Pause(ctx, heartbeatInterval) {
			return
		}
	}
}

func (e *endpoint) serve(conn *net.TCPConn, id string) {
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	_ = conn.SetReadBuffer(smallReceiveBuffer)
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			if !isConnectionEnd(err) {
				e.recorder.addFault(fmt.Sprintf("the endpoint %s received bytes that are no request: %v", id, err))
			}
			return
		}
		x := &exchange{endpoint: e, incarnation: id, conn: conn, request: request, id: request.Header.Get("X-Request-Id")}
		if request.Header.Get("Api-Key") != "" {
			e.recorder.addFault(fmt.Sprintf("the endpoint %s received the key of %s", id, x.id))
		}
		if !x.behave(e.drawBehavior()) {
			return
		}
	}
}

// isConnectionEnd reports whether reading failed because the connection ended, maybe within a request.
func isConnectionEnd(err error) bool {
	var netError net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &netError)
}

func (e *endpoint) drawBehavior() *behavior {
	e.mu.Lock()
	defer e.mu.Unlock()
	return machines.Draw(e.random, weightedBehaviors)
}

// pause waits for a random time below limit.
func (e *endpoint) pause(limit time.Duration) {
	e.mu.Lock()
	wait := time.Duration(e.random.Int64N(int64(limit)))
	e.mu.Unlock()
	time.Sleep(wait)
}
