// Package transport carries messages between routers: small ones as datagrams, larger ones and calls over TCP, at the same
// address. Bodies are CBOR (RFC 8949).
//
// Messages are sent once, without acknowledgement: the protocols above repeat them. Calls get an answer or an error. What is
// truncated, too long or from another fleet is dropped and counted. A Transport may be used by any goroutine; it owns the
// goroutines that it starts, and Close waits for them.
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
)

const (
	maxDatagramBytes = 1200 // of a packet that is sent as a datagram: it fits the 1,500 bytes of Ethernet without fragments
	maxBodyBytes     = 32 << 20
	maxInFlight      = 16 // messages over TCP on their way to one router

	dialTimeout = 500 * time.Millisecond
	callTimeout = 2 * time.Second // that a short message may take
	readTimeout = time.Minute     // that the longest body may take to arrive
	idleTimeout = 10 * time.Second
	minLinkRate = 100_000 // bytes a second, that a message over TCP is given time for beyond callTimeout

	messagePath = "/message"
)

// Counters count since the start.
type Counters struct {
	SentDatagrams atomic.Uint64
	SentOverTCP   atomic.Uint64 // messages; calls are not counted
	SentBytes     atomic.Uint64 // of messages, by either way
	ReplyBytes    atomic.Uint64 // of replies to calls
	Received      atomic.Uint64 // messages
	Dropped       atomic.Uint64 // messages and calls, when sent or received
}

// Transport sends and receives one router's messages. Listen makes one.
type Transport struct {
	Counters Counters

	fleet   uint32
	address string // of this router
	handle  func(*Packet)
	udp     *net.UDPConn
	server  *http.Server
	client  *http.Client
	router  *mux.Router
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu           sync.Mutex
	inFlight     map[string]int            // messages over TCP, by receiver
	udpAddresses map[string]netip.AddrPort // parsed addresses of receivers
	gzipPeers    map[string]bool           // routers that understand compressed messages
}

// Listen binds the router's internal address by UDP; Serve has to follow. Packets of other fleets are dropped. handle is called
// for each message, by several goroutines; it must not block for long.
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
		ctx: ctx, cancel: cancel, inFlight: map[string]int{}, udpAddresses: map[string]netip.AddrPort{}, gzipPeers: map[string]bool{},
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
	}
	return t, nil
}

// Context returns a context that ends with Close.
func (t *Transport) Context() context.Context { return t.ctx }

// Serve starts to receive, until Close. It returns at once; an error says that the address can't be bound by TCP.
func (t *Transport) Serve() error {
	listener, err := net.Listen("tcp4", t.address)
	if err != nil {
		return fmt.Errorf("transport: %w", err)
	}
	t.tasks.Go(func() { _ = t.server.Serve(listener) }) // returns after Close
	t.tasks.Go(t.receiveDatagrams)
	return nil
}

// Close aborts all that is in flight, and waits for its goroutines. Nothing may be sent afterwards.
func (t *Transport) Close() {
	t.cancel()
	_ = t.udp.Close()
	_ = t.server.Close()
	t.client.CloseIdleConnections()
	t.tasks.Wait()
}
