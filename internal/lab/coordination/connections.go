package coordination

import (
	"context"
	"net"
	"time"

	"pinelb.example/pinelb/internal/lab/machines"
)

const (
	dialTimeout   = time.Second
	redialPause   = 300 * time.Millisecond
	unfinishedGET = "GET /cells/g0.k0/read HTTP/1.1\r\nHost: x\r\n" // its end never comes
)

// keepConnection keeps a connection to a machine that asks for nothing, or never finishes asking, until the machine ends it, and opens
// another one then.
func keepConnection(ctx context.Context, address string, sendsHalf bool) {
	for machines.Pause(ctx, redialPause) {
		connection, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
		if sendsHalf {
			_, _ = connection.Write([]byte(unfinishedGET)) // the read below tells of the end
		}
		buffer := make([]byte, 1)
		for err == nil {
			_, err = connection.Read(buffer)
		}
		stop()
		_ = connection.Close()
	}
}
