// Package ports reserves loopback ports for tests and development, which start
// servers on addresses that are chosen before.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// The range lies below the ports that systems give to outgoing connections and
// to listeners without a port, so that none of those takes a reserved one.
const (
	first    = 20000
	count    = 12000
	attempts = 2000
)

// ExhaustedError reports that no ports were found.
type ExhaustedError struct{ Run int }

func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("no %d free loopback ports in a row", e.Run)
}

// held keeps the reservations: a UDP socket on the port of each, until the
// process ends.
var (
	mu   sync.Mutex
	held []net.PacketConn
)

// Reserve returns the first of run ports in a row that nothing listens on, and
// that no other process reserves in this way.
func Reserve(run int) (int, error) {
	mu.Lock()
	defer mu.Unlock()
	for range attempts {
		port := first + rand.IntN(count-run)
		if reserveAll(port, run) {
			return port, nil
		}
	}
	return 0, &ExhaustedError{Run: run}
}

// Address reserves one port and returns its loopback address.
func Address() (string, error) {
	port, err := Reserve(1)
	return fmt.Sprintf("127.0.0.1:%d", port), err
}

func reserveAll(port, run int) bool {
	var taken []net.PacketConn
	for i := range run {
		address := fmt.Sprintf("127.0.0.1:%d", port+i)
		marker, err := net.ListenPacket("udp", address)
		if err != nil {
			break
		}
		taken = append(taken, marker)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			break
		}
		listener.Close()
		if len(taken) == run {
			held = append(held, taken...)
			return true
		}
	}
	for _, marker := range taken {
		_ = marker.Close() // nothing was sent on it
	}
	return false
}
