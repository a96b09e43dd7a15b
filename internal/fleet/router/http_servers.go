package router

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 64 << 10
)

// httpServers holds the HTTP servers for clients, the control API and the readiness probe. Only the goroutine of Router.Run uses it.
type httpServers struct {
	*environment
	servers []*http.Server
}

// listen serves HTTP at an address until close is called, over a limited number of connections; limit nil: unlimited. It returns an error if the
// address can't be bound.
func (h *httpServers) listen(address string, handler http.Handler, limit *connectionLimit) (*http.Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, merry.Prepend(err, "router")
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(h.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	if limit != nil {
		listener, server.ConnState = &limitedListener{Listener: listener, limit: limit}, limit.observe
	}
	h.servers = append(h.servers, server)
	h.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
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
