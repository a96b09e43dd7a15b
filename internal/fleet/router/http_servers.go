package router

import (
	"errors"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/overload"
)

// Sizes of a head, in bytes. The configuration may limit clients' heads to less.
const (
	maxClientHeaderBytes  = 64 << 10
	maxControlHeaderBytes = 16 << 10 // of the control API and the readiness probe
)

// httpServers holds the HTTP servers for clients, the control API and the readiness probe. Only the goroutine of Router.Run uses it.
type httpServers struct {
	*environment
	servers []*http.Server
}

// listen serves HTTP at an address until close is called, over the connections of a manager and with heads of up to headerBytes. It returns an error if the address can't be bound.
func (h *httpServers) listen(address string, handler http.Handler, manager *overload.Manager, headerBytes int) (*http.Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, merry.Prepend(err, "router")
	}
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: headerBytes, ErrorLog: zap.NewStdLog(h.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	manager.Attach(server)
	h.servers = append(h.servers, server)
	h.tasks.Go(func() {
		if err := server.Serve(manager.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
			h.log.Error("listener failed", zap.String("address", address), zap.Error(err))
		}
	})
	return server, nil
}

// close closes all listeners and connections. After a drain, the requests in flight have already been finished or cancelled.
func (h *httpServers) close() {
	for _, server := range h.servers {
		_ = server.Close() // the listener may already be closed
	}
}
