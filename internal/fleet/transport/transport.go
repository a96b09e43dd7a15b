// Package transport carries messages between routers: small messages as UDP datagrams, larger ones and calls over TCP, at the
// same address. Bodies are CBOR (RFC 8949).
//
// Messages are sent once, without acknowledgement: the protocols that use them resend them. Calls return a reply or an error.
// Messages and calls that are truncated or too long, and messages from another fleet, are dropped and counted.
//
// A Transport is safe for concurrent use. It owns the goroutines that it starts, and Close waits for them.
package transport

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"pinelb.example/pinelb/internal/overload"
)

const (
	maxDatagramBytes = 1200     // longer packets are sent over TCP; this fits Ethernet's 1,500 bytes without fragmentation
	maxBodyBytes     = 32 << 20 // of a request, once decompressed, and of a response
	maxHeaderBytes   = 4 << 10  // of a request
	maxInFlight      = 16       // messages over TCP to one router
	maxInFlightBytes = 4 << 20  // of the messages over TCP to one router, unless it is a single one

	dialTimeout = 500 * time.Millisecond
	callTimeout = 2 * time.Second // for sending a short message, and for receiving the header of a request
	readTimeout = time.Minute     // for receiving a request with the longest body
	idleTimeout = 10 * time.Second
	minLinkRate = 100_000 // bytes/s; a message over TCP is given callTimeout plus the time that it takes at this rate

	messagePath = "/message"
)

// Counters holds a Transport's counters, which start at 0 when it is created.
type Counters struct {
	SentDatagrams atomic.Uint64
	SentOverTCP   atomic.Uint64 // messages; calls are not counted
	SentBytes     atomic.Uint64 // of messages, over UDP and TCP
	ReplyBytes    atomic.Uint64 // of replies to calls
	Received      atomic.Uint64 // messages
	Dropped       atomic.Uint64 // messages that were not sent, and invalid messages and calls that were received
	TooLarge      atomic.Uint64 // messages, requests and replies that were not sent because no router accepts one of that size
}

// Transport sends and receives one router's messages. Listen creates one.
type Transport struct {
	Counters Counters

	fleet   uint32
	address string // of this router
	handle  func(*Packet)

	reportTooLarge func(*TooLargeError) // nil: nobody is told
	manager        *overload.Manager    // nil: nothing is bounded but the size of a body

	udp    *net.UDPConn
	server *http.Server
	client *http.Client
	router *mux.Router
	ctx    context.Context // done after Close
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu           sync.Mutex
	inFlight     map[string]*inFlight      // messages over TCP, by receiver; none without messages
	udpAddresses map[string]netip.AddrPort // parsed addresses of receivers
	gzipPeers    map[string]bool           // addresses of routers that support compressed messages
}

// Listen creates a Transport and binds the router's internal address over UDP; nothing is received before Serve. Packets of
// other fleets are dropped. handle is called for each message, by several goroutines at a time; it must not block for long.
// Errors wrap those of package net.
func Listen(address string, fleet uint32, handle func(*Packet)) (*Transport, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	udp, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		fleet: fleet, address: address, handle: handle, udp: udp, router: mux.NewRouter(),
		ctx: ctx, cancel: cancel, inFlight: map[string]*inFlight{}, udpAddresses: map[string]netip.AddrPort{}, gzipPeers: map[string]bool{},
	}
	t.client = &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 1,
		DisableCompression:  true,
	}}
	t.router.HandleFunc(messagePath, t.receiveOverTCP).Methods(http.MethodPost)
	t.server = &http.Server{
		Handler:           t.router,
		ReadHeaderTimeout: callTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       2 * idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return t, nil
}

// inFlight counts the messages that are being sent to a router over TCP.
type inFlight struct {
	messages, bytes int
}

// Context returns a context that Close cancels.
func (t *Transport) Context() context.Context { return t.ctx }

// Limit bounds by a manager what other routers make this one hold. It must be called before Serve.
func (t *Transport) Limit(m *overload.Manager) {
	m.Attach(t.server)
	t.manager = m
}

// Serve starts receiving, until Close, and returns without waiting. It fails if the address can't be bound over TCP; the error
// wraps that of package net.
func (t *Transport) Serve() error {
	listener, err := net.Listen("tcp4", t.address)
	if err != nil {
		return fmt.Errorf("transport: %w", err)
	}
	if t.manager != nil {
		listener = t.manager.Listen(listener)
	}
	t.tasks.Go(func() { _ = t.server.Serve(listener) }) // returns after Close
	t.tasks.Go(t.receiveDatagrams)
	return nil
}

// Close aborts all messages and calls in flight, and waits for the Transport's goroutines. Nothing may be sent after Close.
func (t *Transport) Close() {
	t.cancel()
	_ = t.udp.Close()
	_ = t.server.Close()
	t.client.CloseIdleConnections()
	t.tasks.Wait()
}
