package ports

import (
	"fmt"
	"net"
	"testing"
)

// TestFree guards against a port that an outgoing connection of another process may take, and against one that is taken.
func TestFree(t *testing.T) {
	for range 50 {
		port, err := Free()
		if err != nil {
			t.Fatal(err)
		}
		if port < minPort || port >= endPort {
			t.Fatalf("port %d is outside of %d to %d", port, minPort, endPort)
		}
		listener, err := net.Listen("tcp4", fmt.Sprint("127.0.0.1:", port))
		if err != nil {
			t.Fatal(err)
		}
		if checkFree(port) == nil {
			t.Errorf("port %d is taken and called free", port)
		}
		_ = listener.Close()
	}
}
