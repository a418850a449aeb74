package httplimit

import (
	"cmp"
	"time"

	"go.opentelemetry.io/otel/metric"
)

// Defaults of RequestLimits.
const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Limits are the limits of one server.
type Limits struct {
	Connections  int   // open connections
	RequestBytes int64 // memory of the requests that are being read or handled
	DecodeBytes  int64 // memory of the bodies that are being decoded
}

// RequestLimits are the limits of one request. Zero fields have defaults.
type RequestLimits struct {
	HeaderBytes   int64         // size of the head
	HeaderTimeout time.Duration // from the first byte of a request to the end of its head
	IdleTimeout   time.Duration // without a byte between two requests or in a body
}

func (r RequestLimits) withDefaults() RequestLimits {
	return RequestLimits{
		HeaderBytes:   cmp.Or(r.HeaderBytes, maxHeaderBytes),
		HeaderTimeout: cmp.Or(r.HeaderTimeout, readHeaderTimeout),
		IdleTimeout:   cmp.Or(r.IdleTimeout, idleTimeout),
	}
}

// Options are the limits and dependencies of a Limiter.
type Options struct {
	Server string       // name of the server in metrics
	Limits Limits       // those of the main server of an unknown host if zero
	Meter  metric.Meter // nil for no metrics
	// Requests returns the limits of requests, which may change while the server
	// runs. nil for the defaults.
	Requests func() RequestLimits
}
