// Package ports reserves loopback ports for tests and for the development mode,
// whose servers need their addresses before they start.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
)

// The range of reserved ports lies below the ephemeral ports of common systems.
// Outgoing connections and listeners on port 0 therefore never use a reserved
// port.
const (
	firstPort   = 20000
	portCount   = 12000
	maxAttempts = 2000
)

// ExhaustedError reports that no sequence of free ports was found.
type ExhaustedError struct{ Count int }

func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("found no %d consecutive free loopback ports", e.Count)
}

// reservations holds one UDP socket on each reserved port until the process
// ends. The socket shows other processes that the port is reserved.
var (
	mu           sync.Mutex
	reservations []net.PacketConn
)

// Reserve returns the first of count consecutive ports that nothing listens on
// and that no other process has reserved with this package.
func Reserve(count int) (int, error) {
	probePidfd()
	mu.Lock()
	defer mu.Unlock()
	for range maxAttempts {
		port := firstPort + rand.IntN(portCount-count)
		if reserveAll(port, count) {
			return port, nil
		}
	}
	return 0, &ExhaustedError{Count: count}
}

// probePidfd makes the os package test once whether it can use pidfds. Otherwise it
// does so at the first start of a process, with a clone that does not take
// syscall.ForkLock and so may copy a listener of isFree.
var probePidfd = sync.OnceFunc(func() {
	if process, err := os.FindProcess(os.Getpid()); err == nil {
		_ = process.Release()
	}
})

// Address reserves one port and returns its loopback address.
func Address() (string, error) {
	port, err := Reserve(1)
	return fmt.Sprintf("127.0.0.1:%d", port), err
}

func reserveAll(port, count int) bool {
	var sockets []net.PacketConn
	for i := range count {
		address := fmt.Sprintf("127.0.0.1:%d", port+i)
		socket, err := net.ListenPacket("udp", address)
		if err != nil {
			break
		}
		sockets = append(sockets, socket)
		if !isFree(address) {
			break
		}
		if len(sockets) == count {
			reservations = append(reservations, sockets...)
			return true
		}
	}
	for _, socket := range sockets {
		_ = socket.Close() // nothing was sent on it
	}
	return false
}

// isFree reports whether nothing listens on the TCP address. No process is
// started meanwhile: until it executes its program, it would keep a copy of the
// listener open, and the address would be in use after the return.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	listener.Close()
	return true
}
