package settingsbench

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// upstream is a list service with one upstream host, which answers all requests.
type upstream struct {
	listAddr, hostAddr string
	servers            []*http.Server
}

// newUpstream starts both on free loopback addresses.
func newUpstream() (*upstream, error) {
	u := &upstream{}
	for _, server := range []struct {
		addr    *string
		handler http.HandlerFunc
	}{{&u.hostAddr, func(http.ResponseWriter, *http.Request) {}}, {&u.listAddr, u.serveList}} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			u.close()
			return nil, fmt.Errorf("settingsbench: %w", err)
		}
		*server.addr = l.Addr().String()
		s := &http.Server{Handler: server.handler}
		u.servers = append(u.servers, s)
		go func() { _ = s.Serve(l) }()
	}
	return u, nil
}

// serveList answers with the list, or after the wait of a watch that there is no update.
func (u *upstream) serveList(out http.ResponseWriter, r *http.Request) {
	member := ""
	if r.URL.Query().Get("since") == "" {
		member = fmt.Sprintf(`{"id":"s-1","host_port":%q,"locality":"z","flavor":"k","phase":"Ready","size":1,"up_since_ms":0}`, u.hostAddr)
	} else if wait, err := time.ParseDuration(r.URL.Query().Get("timeout_ms") + "ms"); err == nil {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
	}
	fmt.Fprintf(out, `{"revision":1,"complete":%v,"members":[%s]}`, member != "", member)
}

// close stops both.
func (u *upstream) close() {
	for _, s := range u.servers {
		_ = s.Close()
	}
}
