package httplimit

import (
	"runtime/debug"
	"syscall"
)

// Host is what the host of a process allows it. Zero fields have defaults.
type Host struct {
	MemoryBytes int64
	Sockets     int // descriptors for connections
}

const (
	defaultMemoryBytes = 256 << 20 // if the settings state no memory
	connectionBytes    = 16 << 10  // memory of a connection with its allowances
)

// withDefaults returns the host with all fields set. The default of Sockets is
// half of the process's limit of descriptors.
func (h Host) withDefaults() Host {
	if h.MemoryBytes <= 0 {
		h.MemoryBytes = defaultMemoryBytes
	}
	if h.Sockets <= 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			limit.Cur = 1024
		}
		h.Sockets = int(min(limit.Cur, 1<<16) / 2)
	}
	return h
}

// Main returns the limits of the server that most clients of the process use.
// The rest of the host is left to the other servers and to the connections that
// the process opens.
func (h Host) Main() Limits {
	h = h.withDefaults()
	return Limits{Connections: min(h.Sockets/4*3, int(h.MemoryBytes/4/connectionBytes)), RequestBytes: h.MemoryBytes / 4, DecodeBytes: h.MemoryBytes / 8}
}

// Side returns the limits of a server that few clients use.
func (h Host) Side() Limits {
	h = h.withDefaults()
	return Limits{Connections: min(max(8, h.Sockets/16), int(h.MemoryBytes/32/connectionBytes)), RequestBytes: h.MemoryBytes / 32, DecodeBytes: h.MemoryBytes / 32}
}

// Local returns the limits of a server that few clients use, with large bodies.
func (h Host) Local() Limits {
	limits := h.Main()
	limits.Connections = h.Side().Connections
	return limits
}

// StateBytes returns the memory for what the process keeps for its clients, 0
// if the host's memory is not known.
func (h Host) StateBytes() int64 { return h.MemoryBytes / 3 }

// LimitHeap makes the garbage collector run more often when the process takes
// more than seven tenths of the host's memory. The rest is for what the Go
// runtime does not manage, such as the program itself. It does nothing if the
// host's memory is not known.
func (h Host) LimitHeap() {
	if h.MemoryBytes > 0 {
		debug.SetMemoryLimit(h.MemoryBytes / 10 * 7)
	}
}
