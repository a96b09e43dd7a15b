package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a request that gets 404 although the standards let its Host be written so.
func TestHostForms(t *testing.T) {
	for _, c := range []struct{ host, sentence string }{
		{"h", "as the configuration has it"},
		{"H", "RFC 9110, 4.2.3: the scheme and host are case-insensitive"},
		{"h:80", "RFC 9110, 7.2: Host = uri-host [ \":\" port ]"},
		{"H:8080", "both"},
		{"h:", "RFC 3986, 3.2.3: port = *DIGIT, which may be empty"},
	} {
		Convey("The Host "+c.host+" finds the host's route ("+c.sentence+")", t, func() {
			r := newTestProxy(t, newFakeEndpoint(t, "e1"))
			conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST /u/ HTTP/1.1\r\nHost: "+c.host+"\r\nApi-Key: k\r\nX-Request-Id: id-1\r\nContent-Length: 0\r\n\r\n")
			So(err, ShouldBeNil)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusOK)
		})
	}
}

// Guards against an event stream whose events never end for the proxy, or lose their ids, because its lines end otherwise than with LF; and
// against bytes that are lost or come twice, however the stream is cut into pieces.
func TestEventForms(t *testing.T) {
	for name, lineEnd := range map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"} {
		Convey("In a stream whose lines end with "+name+" each event is passed on once it is complete", t, func() {
			first := strings.ReplaceAll("\uFEFFid: 1\ndata: a\n\n", "\n", lineEnd)
			second := strings.ReplaceAll(": a comment\nid:2\ndata: b\ndata: c\n\n", "\n", lineEnd)
			third := strings.ReplaceAll("id: 3\nda", "\n", lineEnd)
			stream := first + second + third
			for size := 1; size <= len(stream); size++ {
				var splitter eventSplitter
				out, id := "", ""
				for at := 0; at < len(stream); at += size {
					out += string(splitter.complete([]byte(stream[at:min(at+size, len(stream))]), &id))
					if len(out) == len(first) {
						So(id, ShouldEqual, "1")
					}
				}
				So(out, ShouldEqual, first+second)
				So(id, ShouldEqual, "2")
				So(splitter.empty(), ShouldBeFalse)
			}
		})
	}
	Convey("An event that ends with CR does not wait for what follows", t, func() {
		var splitter eventSplitter
		id := ""
		So(string(splitter.complete([]byte("id: 1\r\r"), &id)), ShouldEqual, "id: 1\r\r")
		So(splitter.empty(), ShouldBeTrue)
	})
}
