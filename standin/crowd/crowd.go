// Package crowd is a crowd of HTTP clients that don't behave, and the measures of
// a process that faces one. It is for tests.
package crowd

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ReconnectPause is the time from the end of a member's connection to its next
// one.
const ReconnectPause = 200 * time.Millisecond

// Run lets the members of a crowd open one connection to the address after
// another until ctx ends. behave uses a connection until it is closed.
func Run(ctx context.Context, members int, address string, behave func(net.Conn)) {
	var crowd sync.WaitGroup
	for range members {
		crowd.Go(func() { runMember(ctx, address, behave) })
	}
	crowd.Wait()
}

// runMember opens one connection after another until ctx ends.
func runMember(ctx context.Context, address string, behave func(net.Conn)) {
	var dialer net.Dialer
	for ctx.Err() == nil {
		if conn, err := dialer.DialContext(ctx, "tcp", address); err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			behave(conn)
			stop()
			_ = conn.Close() // may be closed already
		}
		select {
		case <-time.After(ReconnectPause):
		case <-ctx.Done():
		}
	}
}

// DescriptorCount returns the number of open descriptors of a process, 0 if it has
// exited.
func DescriptorCount(pid int) int {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

// PeakMemoryMB returns the largest resident memory that a process has had.
func PeakMemoryMB(pid int) (int, error) {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes / 1024, err
		}
	}
	return 0, fmt.Errorf("VmHWM of process %d: %w", pid, fs.ErrNotExist)
}

// SendAndWait writes the text and waits until the connection is closed.
func SendAndWait(conn net.Conn, text string) {
	if _, err := io.WriteString(conn, text); err == nil {
		WaitUntilClosed(conn)
	}
}

// WaitUntilClosed reads and drops what arrives until the connection is closed.
func WaitUntilClosed(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// SendInPieces writes the text in pieces with a pause between them. It returns
// an error once the connection is closed.
func SendInPieces(conn net.Conn, text string, size int, pause time.Duration) error {
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(pause)
	}
	return nil
}

// RepeatUntilClosed writes the text again and again.
func RepeatUntilClosed(conn net.Conn, text string, pause time.Duration) {
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// LengthField returns the field for a body of n bytes.
func LengthField(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// ShortLines returns short fields with different names, at least n bytes in
// all.
func ShortLines(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// Chunks returns the text as chunks of the given size without the last, empty
// chunk.
func Chunks(text string, size int) []string {
	var encoded []string
	for len(text) > 0 {
		n := min(size, len(text))
		encoded = append(encoded, fmt.Sprintf("%x\r\n%s\r\n", n, text[:n]))
		text = text[n:]
	}
	return encoded
}
