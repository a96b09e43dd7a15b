package proxy

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/config"
)

// bodyRequest returns a request with a body and an announced length; -1: none.
func bodyRequest(body io.Reader, announced int64) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/a", body)
	r.ContentLength = announced
	return r
}

// Guards against a process that is killed for its memory because clients announce long bodies, or send many at a time.
func TestBodiesStayWithinTheirBudget(t *testing.T) {
	Convey("A budget for bodies", t, func() {
		budget := &bodyBudget{max: 1 << 20}
		reader := &bodyReader{budget: budget}

		Convey("is not used by an announcement, however long, where no limit of a body is set", func() {
			for _, announced := range []int64{1 << 36, math.MaxInt64} {
				_, err := readRequest(bodyRequest(strings.NewReader("short"), announced), config.Limits{}, reader)
				So(errors.Is(err, errUnreadableBody), ShouldBeTrue)
				So(reader.reserved, ShouldEqual, firstBodyBytes)
				reader.release()
			}
			So(budget.used.Load(), ShouldEqual, 0)
		})
		Convey("is used by what has come, and given back", func() {
			content := bytes.Repeat([]byte("x"), 300<<10)
			for _, announced := range []int64{-1, int64(len(content))} {
				body, err := reader.read(bodyRequest(iotest.OneByteReader(bytes.NewReader(content)), announced), 0)
				So(err, ShouldBeNil)
				So(bytes.Equal(body, content), ShouldBeTrue)
				So(budget.used.Load(), ShouldBeBetweenOrEqual, len(content), 2*len(content))
				reader.release()
				So(budget.used.Load(), ShouldEqual, 0)
			}
		})
		Convey("is not exceeded", func() {
			_, err := reader.read(bodyRequest(bytes.NewReader(make([]byte, 2<<20)), 2<<20), 0)
			So(err, ShouldEqual, errBodiesFull)
			So(budget.used.Load(), ShouldBeLessThanOrEqualTo, 1<<20)
			other := &bodyReader{budget: budget}
			_, err = other.read(bodyRequest(bytes.NewReader(make([]byte, 600<<10)), 600<<10), 0)
			So(err, ShouldEqual, errBodiesFull)
			reader.release()
			other.release()
			_, err = other.read(bodyRequest(bytes.NewReader(make([]byte, 600<<10)), 600<<10), 0)
			So(err, ShouldBeNil)
		})
		Convey("doesn't change what a body is: one byte more than allowed is read, and a short one is an error", func() {
			body, err := reader.read(bodyRequest(strings.NewReader("123456"), -1), 4)
			So(err, ShouldBeNil)
			So(len(body), ShouldEqual, 5)
			_, err = reader.read(bodyRequest(strings.NewReader("1234"), 5), 0)
			So(err, ShouldEqual, io.ErrUnexpectedEOF)
			body, err = reader.read(bodyRequest(strings.NewReader(""), 0), 0)
			So(err, ShouldBeNil)
			So(body, ShouldBeEmpty)
		})
	})
}

// Guards against a request that is refused for want of memory and runs nevertheless.
func TestRequestBeyondTheBodyBudgetIsRefused(t *testing.T) {
	Convey("A request whose body exceeds the budget is rejected with a time, and runs nowhere", t, func() {
		e := newFakeEndpoint(t, "e1")
		r := newTestProxy(t, e)
		r.proxy.bodies.max = int64(len("small"))
		response, _, err := r.do(http.MethodPost, "/u/", "larger")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		So(response.Header.Get(headerRetryAfter), ShouldEqual, "0.300")
		So(r.proxy.bodies.used.Load(), ShouldEqual, 0)

		response, _, err = r.do(http.MethodPost, "/u/", "small")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusOK)
		So(r.proxy.Rejected.Load(), ShouldEqual, 1)
		So(r.proxy.Served.Load(), ShouldEqual, 1)
	})
}
