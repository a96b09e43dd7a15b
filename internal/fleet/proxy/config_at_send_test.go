package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/config"
)

// modifyTable makes the configuration after a patch the active one. Endpoints may call it, on goroutines of their own.
func (r *testProxy) modifyTable(patch string) {
	present := r.delegate.table.Load()
	state := &config.State{Document: present.Document}
	next, err := state.Apply(&config.Change{Base: present.Version, Body: fmt.Appendf(nil, `{"version":%d,%s}`, present.Version+1, patch)})
	if err != nil {
		panic(err)
	}
	table, err := config.NewTable(next.Document, present)
	if err != nil {
		panic(err)
	}
	r.delegate.table.Store(table)
}

// changesOfAccess are changes after which a request of the route /u/ or /safe/ with the key k must not be sent, with the status of one whose body
// was still coming.
var changesOfAccess = map[string]struct {
	patch  string
	status int
}{
	"its key is taken away":                  {`"upsert":{"tenants":[{"name":"acme","apiKeys":["other"]}]}`, http.StatusUnauthorized},
	"its tenant, the last one, is removed":   {`"remove":{"tenants":["acme"]}`, http.StatusUnauthorized},
	"its key is given to another tenant":     {`"remove":{"tenants":["acme"]},"upsert":{"tenants":[{"name":"other","apiKeys":["k"]}]}`, http.StatusOK},
	"its route is removed":                   {`"remove":{"routes":["u","safe"]}`, http.StatusNotFound},
	"another key is given out, it may go on": {`"upsert":{"tenants":[{"name":"more","apiKeys":["k2"]}]}`, http.StatusOK},
}

// Guards against CONFIG: a request that runs because its key or route was there when its head came, although it was taken away while the body
// was coming.
func TestConfigurationChangesWhileBodyComes(t *testing.T) {
	for name, c := range changesOfAccess {
		Convey("Where "+name+" while the body is coming, the present configuration decides", t, func() {
			e := newFakeEndpoint(t, "e1")
			r := newTestProxy(t, e)
			conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST /u/ HTTP/1.1\r\nHost: h\r\nApi-Key: k\r\nX-Request-Id: id-1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
			So(err, ShouldBeNil)
			in := bufio.NewReader(conn)
			continued, err := http.ReadResponse(in, nil) // the proxy has begun to read the body
			So(err, ShouldBeNil)
			So(continued.StatusCode, ShouldEqual, http.StatusContinue)
			r.modifyTable(c.patch)
			_, err = io.WriteString(conn, "body")
			So(err, ShouldBeNil)
			response, err := http.ReadResponse(in, nil)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, c.status)
			So(len(e.requests()), ShouldEqual, map[bool]int{true: 1}[c.status == http.StatusOK])
		})
	}
}

// Guards against CONFIG: a retry that runs with a key or a route that was taken away since the first attempt.
func TestConfigurationChangesBeforeRetry(t *testing.T) {
	for name, c := range changesOfAccess {
		Convey("Where "+name+" during an attempt, a retry follows only if the request may still be sent for its tenant", t, func() {
			var r *testProxy
			var once sync.Once
			reject := func(conn net.Conn, request *http.Request) {
				once.Do(func() { r.modifyTable(c.patch) })
				respond(notExecutedText)(conn, request)
			}
			a, b := newFakeEndpoint(t, "e1", reject), newFakeEndpoint(t, "e2", reject)
			r = newTestProxy(t, a, b)
			response, _, err := r.do("POST", "/safe/", "")
			So(err, ShouldBeNil)
			if strings.Contains(name, "may go on") {
				So(requestCount(a, b), ShouldEqual, 2) // both reject it
				So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
				return
			}
			So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
			So(requestCount(a, b), ShouldEqual, 1)
			So(r.delegate.refunded, ShouldEqual, r.delegate.charged)
		})
	}
}
