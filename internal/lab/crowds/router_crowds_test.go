package crowds

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const requestLine = "POST /plain/x HTTP/1.1\r\nHost: h\r\n"

func TestClientsHeadsOfShortFieldsStayWithinMemory(t *testing.T) {
	testCrowd(t, crowdSize, front, sendThen(requestLine, shortFields, headBytes))
}

func TestClientsStalledHeadsOfShortFieldsStayWithinMemory(t *testing.T) {
	testCrowd(t, crowdSize, front, sendThen(requestLine+fieldsWithin(stalledBytes), nil, 0))
}

func TestClientsHeadsOfOneLineStayWithinMemory(t *testing.T) {
	testCrowd(t, crowdSize, front, sendThen(requestLine+"X-Long: ", longLine, headBytes))
}

func TestClientsEmptyLinesBeforeARequestStayWithinMemory(t *testing.T) {
	testCrowd(t, crowdSize, front, sendThen("", emptyLines, headBytes))
}

func TestClientsWholeHeadsBeforeABodyStayWithinMemory(t *testing.T) {
	testCrowd(t, crowdSize, front, sendThen(post("/plain/x", fieldsWithin(15<<10), 1<<20), nil, 0))
}

func TestClientsBodiesWithoutEndStayWithinMemory(t *testing.T) {
	testCrowd(t, crowdSize, front, sendThen(post("/plain/x", "", 4<<20), zeros, 4<<20-len(zeros)))
}

func TestClientsWholeBodiesInProgressStayWithinMemory(t *testing.T) {
	testCrowd(t, crowdSize, front, sendAndAwaitAnswer(post("/slow/late", "", 1<<20)+string(make([]byte, 1<<20))))
}

func TestClientsWholeHeadsInProgressStayWithinMemory(t *testing.T) {
	testCrowd(t, crowdSize, front, sendAndAwaitAnswer(post("/slow/late", fieldsWithin(15<<10), 0)))
}

func TestClientsUnreadAnswersStayWithinMemory(t *testing.T) {
	testCrowd(t, crowdSize, front, sendAndReadNothing(post("/slow/large", "", 0)))
}

func TestClientsUnfinishedEventsStayWithinMemory(t *testing.T) {
	testCrowd(t, crowdSize, front, sendAndReadNothing(post("/stream/event", "", 0)))
}

func TestClientsPipelinedRequestsStayWithinMemory(t *testing.T) {
	testCrowd(t, crowdSize, front, sendAndReadNothing(strings.Repeat(post("/plain/x", "", 1)+"x", 10_000)))
}

func TestSilentClientsKeepNobodyOut(t *testing.T) {
	testReconnectingCrowd(t, front, silent)
}

func TestClientsWithUnfinishedHeadsKeepNobodyOut(t *testing.T) {
	testReconnectingCrowd(t, front, sendThen(requestLine, nil, 0))
}

func TestClientsWithUnfinishedBodiesKeepNobodyOut(t *testing.T) {
	testReconnectingCrowd(t, front, sendThen(post("/plain/x", "", 1000)+"begun", nil, 0))
}

func TestSilentClientsDisplaceNoIdleConnection(t *testing.T) {
	r := startRouter(t)
	idle, err := net.Dial("tcp", r.front)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = idle.Close() }()
	reader := bufio.NewReader(idle)
	requireAnswerOn(t, idle, reader)
	crowd{address: r.front, size: routerDescriptors * 3 / 2, behave: silent}.runAgain(t)
	time.Sleep(holdTime)
	requireAnswerOn(t, idle, reader)
	r.requireWithinLimits(t)
}

// requireAnswerOn sends an ordinary request on an open connection and reads its answer.
func requireAnswerOn(t *testing.T, conn net.Conn, reader *bufio.Reader) {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(tryTimeout))
	if _, err := io.WriteString(conn, post("/plain/x", "", 1)+"x"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no answer on an open connection: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("status %d, %v", response.StatusCode, err)
	}
}

func TestControlHeadsOfShortFieldsStayWithinMemory(t *testing.T) {
	testCrowd(t, crowdSize, control, sendThen("POST /config/replace HTTP/1.1\r\nHost: h\r\n", shortFields, headBytes))
}

func TestControlStalledHeadsOfShortFieldsStayWithinMemory(t *testing.T) {
	testCrowd(t, crowdSize, control, sendThen("POST /config/replace HTTP/1.1\r\nHost: h\r\n"+fieldsWithin(stalledBytes), nil, 0))
}

func TestControlBodiesWithoutEndStayWithinMemory(t *testing.T) {
	testCrowd(t, smallCrowdSize, control, sendThen(post("/config/replace", "X-Base-Version: 1\r\n", 15<<20), zeros, 14<<20))
}

func TestControlChangesOfManyItemsStayWithinMemory(t *testing.T) {
	var items strings.Builder
	for i := 0; items.Len() < 6<<20; i++ {
		fmt.Fprintf(&items, `{"name":"n%d"},`, i)
	}
	body := `{"version":2,"services":[` + strings.TrimSuffix(items.String(), ",") + `],"routes":[{"name":"r"}]}`
	testCrowd(t, smallCrowdSize, control, sendAndAwaitAnswer(post("/config/replace", "X-Base-Version: 1\r\n", len(body))+body))
}

func TestControlHeartbeatsOfManyEndpointsStayWithinMemory(t *testing.T) {
	service := strings.Repeat("s", 40<<10)
	testCrowd(t, smallCrowdSize, control, func(conn net.Conn, client int) {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		for i := range 100 {
			body := fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:9","zone":"z","capacity":1,"state":"ready","sequence":1}`, service)
			if !write(conn, []byte(post(fmt.Sprintf("/instances/e-%d-%d/heartbeat", client, i), "", len(body))+body)) {
				return
			}
		}
	})
}

func TestSilentControlConnectionsKeepNobodyOut(t *testing.T) {
	testReconnectingCrowd(t, control, silent)
}

func TestControlWatchesKeepNobodyOut(t *testing.T) {
	testReconnectingCrowd(t, control, func(conn net.Conn, _ int) {
		write(conn, []byte("GET /watch/g?waitMs=60000 HTTP/1.1\r\nHost: h\r\n\r\n"))
	})
}

func TestReadinessHeadsOfShortFieldsStayWithinMemory(t *testing.T) {
	testCrowd(t, crowdSize, ready, sendThen("GET /ready HTTP/1.1\r\nHost: h\r\n", shortFields, headBytes))
}

func TestReadinessStalledHeadsOfShortFieldsStayWithinMemory(t *testing.T) {
	testCrowd(t, crowdSize, ready, sendThen("GET /ready HTTP/1.1\r\nHost: h\r\n"+fieldsWithin(stalledBytes), nil, 0))
}

func TestSilentReadinessConnectionsKeepNobodyOut(t *testing.T) {
	testReconnectingCrowd(t, ready, silent)
}

func TestRoutersHeadsOfShortFieldsStayWithinMemory(t *testing.T) {
	testCrowd(t, crowdSize, internal, sendThen("POST /message HTTP/1.1\r\nHost: h\r\n", shortFields, headBytes))
}

func TestRoutersStalledHeadsOfShortFieldsStayWithinMemory(t *testing.T) {
	testCrowd(t, crowdSize, internal, sendThen("POST /message HTTP/1.1\r\nHost: h\r\n"+fieldsWithin(stalledBytes), nil, 0))
}

func TestRoutersBodiesWithoutEndStayWithinMemory(t *testing.T) {
	testCrowd(t, smallCrowdSize, internal, sendThen(post("/message", "", 30<<20), zeros, 29<<20))
}

func TestRoutersCompressedBodiesStayWithinMemory(t *testing.T) {
	body := gzipped(t, 31<<20)
	testCrowd(t, smallCrowdSize, internal, sendAndAwaitAnswer(post("/message", "Content-Encoding: gzip\r\n", len(body))+string(body)))
}

func TestSilentRouterConnectionsKeepNobodyOut(t *testing.T) {
	testReconnectingCrowd(t, internal, silent)
}
