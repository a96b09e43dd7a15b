// Package transport carries messages between routers: small ones as datagrams, larger ones and calls over TCP. Bodies
// are cbor. What is cut, too long or of another fleet is dropped and counted.
package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/mux"
)

const (
	maxDatagramBytes = 1200     // bytes of a message that goes as a datagram
	maxBodyBytes     = 32 << 20 // bytes of a message over TCP
	maxInFlight      = 16       // large messages on their way to one router
	dialTimeout      = 500 * time.Millisecond
	callTimeout      = 2 * time.Second // that a short message or call may take
	readTimeout      = time.Minute     // that the longest one may take to come
	minLinkRate      = 100_000         // bytes a second that a message over TCP is given time for, beyond callTimeout
	idleTimeout      = 10 * time.Second
	messagePath      = "/message"
)

// Kind tells messages apart; the roles number them.
type Kind uint8

// Packet is a message as it is sent.
type Packet struct {
	Fleet uint32          `cbor:"1,keyasint"`
	Kind  Kind            `cbor:"2,keyasint"`
	From  string          `cbor:"3,keyasint"` // the sender's internal address
	Nonce uint64          `cbor:"4,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"5,keyasint"`
}

// Counters are what was sent, received and dropped since the start.
type Counters struct {
	SentDatagrams, SentBytes, Received, Dropped, SentOverTCP atomic.Uint64
}

// Transport is one router's. Handle is called for each message, by several goroutines; it must not block for long.
type Transport struct {
	Counters Counters

	fleet   uint32
	address string
	handle  func(*Packet)
	udp     *net.UDPConn
	server  *http.Server
	client  *http.Client
	router  *mux.Router
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu           sync.Mutex
	inFlight     map[string]int
	udpAddresses map[string]netip.AddrPort
}

// Listen takes the address over, by UDP and TCP. Serve has to follow.
func Listen(address string, fleet uint32, handle func(*Packet)) (*Transport, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, merry.Prepend(err, "transport")
	}
	udp, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, merry.Prepend(err, "transport")
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		fleet: fleet, address: address, handle: handle, udp: udp, router: mux.NewRouter(),
		ctx: ctx, cancel: cancel, inFlight: map[string]int{}, udpAddresses: map[string]netip.AddrPort{},
	}
	t.client = &http.Client{Transport: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 1, DisableCompression: true,
	}}
	t.router.HandleFunc(messagePath, t.receiveOverTCP).Methods(http.MethodPost)
	t.server = &http.Server{Handler: t.router, ReadHeaderTimeout: callTimeout, ReadTimeout: readTimeout, IdleTimeout: 2 * idleTimeout}
	return t, nil
}

// HandleCall has answer called for each call of that path. What it returns is the answer's body.
func (t *Transport) HandleCall(path string, answer func(body []byte) (any, error)) {
	t.router.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			t.Counters.Dropped.Add(1)
			return
		}
		reply, err := answer(body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		text, err := cbor.Marshal(reply)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(text) // the caller asks again
	}).Methods(http.MethodPost)
}

// HandleStatus answers GET calls of a path with what show returns, as JSON.
func (t *Transport) HandleStatus(path string, show func() any) {
	t.router.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(show()) // the caller asks again
	}).Methods(http.MethodGet)
}

// Context ends with Close.
func (t *Transport) Context() context.Context { return t.ctx }

// Serve receives until Close.
func (t *Transport) Serve() error {
	listener, err := net.Listen("tcp4", t.address)
	if err != nil {
		return merry.Prepend(err, "transport")
	}
	t.tasks.Go(func() { _ = t.server.Serve(listener) }) // ends with Close
	t.tasks.Go(t.receiveDatagrams)
	return nil
}

// Close ends all that is under way.
func (t *Transport) Close() {
	t.cancel()
	_ = t.udp.Close()
	_ = t.server.Close()
	t.client.CloseIdleConnections()
	t.tasks.Wait()
}

func (t *Transport) receiveDatagrams() {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := t.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			t.receive(buffer[:n])
		}
	}
}

func (t *Transport) receiveOverTCP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		t.Counters.Dropped.Add(1)
		return
	}
	t.receive(body)
}

func (t *Transport) receive(text []byte) {
	var p Packet
	if err := cbor.Unmarshal(text, &p); err != nil || p.Fleet != t.fleet || p.From == "" {
		t.Counters.Dropped.Add(1)
		return
	}
	t.Counters.Received.Add(1)
	t.handle(&p)
}

// Send sends a message, once and without a word of whether it came.
func (t *Transport) Send(to string, kind Kind, nonce uint64, message any) {
	t.sendEncoded(to, t.encode(kind, nonce, message))
}

func (t *Transport) encode(kind Kind, nonce uint64, message any) []byte {
	body, err := cbor.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("transport: a message of kind %d can't be encoded: %v", kind, err))
	}
	text, err := cbor.Marshal(&Packet{Fleet: t.fleet, Kind: kind, From: t.address, Nonce: nonce, Body: body})
	if err != nil {
		panic(fmt.Sprintf("transport: a packet can't be encoded: %v", err))
	}
	return text
}

func (t *Transport) sendEncoded(to string, text []byte) {
	if len(text) <= maxDatagramBytes {
		t.sendDatagram(to, text)
		return
	}
	t.sendOverTCP(to, text)
}

// SendAll sends a message to several routers, once and without a word of whether it came.
func (t *Transport) SendAll(to []string, kind Kind, message any) {
	text := t.encode(kind, 0, message)
	for _, address := range to {
		t.sendEncoded(address, text)
	}
}

func (t *Transport) sendDatagram(to string, text []byte) {
	t.mu.Lock()
	at, known := t.udpAddresses[to]
	t.mu.Unlock()
	if !known {
		var err error
		if at, err = netip.ParseAddrPort(to); err != nil {
			t.Counters.Dropped.Add(1)
			return
		}
		t.mu.Lock()
		t.udpAddresses[to] = at
		t.mu.Unlock()
	}
	t.Counters.SentDatagrams.Add(1)
	t.Counters.SentBytes.Add(uint64(len(text)))
	_, _ = t.udp.WriteToUDPAddrPort(text, at) // datagrams may be lost anyway
}

func (t *Transport) sendOverTCP(to string, text []byte) {
	t.mu.Lock()
	full := t.inFlight[to] >= maxInFlight
	if !full {
		t.inFlight[to]++
	}
	t.mu.Unlock()
	if full {
		t.Counters.Dropped.Add(1)
		return
	}
	t.Counters.SentOverTCP.Add(1)
	t.Counters.SentBytes.Add(uint64(len(text)))
	t.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, sendTimeout(len(text)))
		_, _ = t.post(ctx, to, messagePath, text) // messages may be lost; the protocols repeat them
		cancel()
		t.mu.Lock()
		if t.inFlight[to]--; t.inFlight[to] == 0 {
			delete(t.inFlight, to)
		}
		t.mu.Unlock()
	})
}

// sendTimeout is how long a message of a size may take, also on a slow link.
func sendTimeout(size int) time.Duration {
	return callTimeout + time.Duration(size)*time.Second/minLinkRate
}

// Call sends a request to a router and reads the answer into reply, which may take until ctx ends.
func (t *Transport) Call(ctx context.Context, to, path string, request, reply any) error {
	body, err := cbor.Marshal(request)
	if err != nil {
		return merry.Prepend(err, "transport")
	}
	text, err := t.post(ctx, to, path, body)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(text, reply); err != nil {
		return merry.Prepend(err, "transport: answer")
	}
	return nil
}

func (t *Transport) post(ctx context.Context, to, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+path, bytes.NewReader(body))
	if err != nil {
		return nil, merry.Prepend(err, "transport")
	}
	response, err := t.client.Do(request)
	if err != nil {
		return nil, merry.Prepend(err, "transport")
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, merry.Prepend(err, "transport")
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("transport: %s answered %d: %s", to, response.StatusCode, text)
	}
	return text, nil
}
