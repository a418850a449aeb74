package ports

import (
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"
)

func TestReservedPortsAreFreeAndReservedOnce(t *testing.T) {
	is := is.New(t)
	seen := map[int]bool{}
	for range 200 {
		port, err := Reserve(2)
		is.NoErr(err)
		is.True(!seen[port] && !seen[port+1])
		seen[port], seen[port+1] = true, true
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		is.NoErr(err)
		is.NoErr(listener.Close())
	}
}

func TestReservedPortIsNotReservedAgain(t *testing.T) {
	is := is.New(t)
	port, err := Reserve(1)
	is.NoErr(err)
	is.True(!reserveAll(port, 1)) // the UDP socket that reserves the port is still open
}
