package httplimit

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Sizes of the buffer of a body.
const (
	bodyAllowance = 4 << 10 // memory of a body that is not reserved
	bufferGrowth  = 4       // factor by which a full buffer grows
	decodeFactor  = 8       // memory that decoding takes, as a multiple of the size of a body
)

// limitRequests bounds the time that a client may take for the body of a
// request.
func limitRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r.Context()); c != nil && r.Body != nil && r.Body != http.NoBody {
			body := &requestBody{ReadCloser: r.Body, conn: c, deadline: time.Now().Add(bodyTimeout)}
			r.Body = body
			// net/http reads the rest of the body when it sends the answer.
			_ = c.SetReadDeadline(time.Now().Add(discardTimeout))
			defer body.discard()
		}
		handler.ServeHTTP(w, r)
	})
}

// requestBody is the body of a request. Its connection waits for the client
// from the first read to the end.
type requestBody struct {
	io.ReadCloser
	conn       *conn
	deadline   time.Time
	hasBegun   bool
	isComplete bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if !b.hasBegun {
		b.hasBegun = true
		b.conn.startWaiting()
	}
	deadline := time.Now().Add(b.conn.limiter.requests().withDefaults().IdleTimeout)
	if b.deadline.Before(deadline) {
		deadline = b.deadline
	}
	if err := b.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.isComplete = true
		b.conn.stopWaiting()
		_ = b.conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// discard bounds the wait for the rest of a body that the handler has not read.
func (b *requestBody) discard() {
	if b.isComplete {
		return
	}
	b.conn.startWaiting()
	_ = b.conn.SetReadDeadline(time.Now().Add(discardTimeout))
}

// ReadBody reads the body of a request. The memory of the body is reserved
// until the request has been answered. ReadBody returns *http.MaxBytesError for a body
// of more than limit bytes, and *structs.NotRunError if there is no memory for
// the body in time, if ctx ends before the body has arrived, or if the client
// stops in the body. After an error the connection is closed.
func ReadBody(ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	c := connOf(r.Context())
	if c != nil {
		c.heldByHead = c.held()
	}
	data, err := readBody(ctx, w, r, limit, c)
	if err != nil {
		if c != nil {
			c.releaseTo(c.heldByHead) // the buffer of the body is garbage by now
		}
		w.Header().Set("Connection", "close")
		return nil, err
	}
	return data, nil
}

func readBody(ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64, c *conn) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if body, isLimited := r.Body.(*requestBody); isLimited {
		if deadline, hasDeadline := ctx.Deadline(); hasDeadline && deadline.Before(body.deadline) {
			body.deadline = deadline
		}
	}
	reader := http.MaxBytesReader(w, r.Body, limit)
	data := make([]byte, 0, min(bodyAllowance, expectedBytes(r, limit)+1))
	for {
		n, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, c.bodyError(err)
		}
		if len(data) == cap(data) {
			if data, err = c.growBuffer(ctx, data, expectedBytes(r, limit)+1); err != nil {
				return nil, err
			}
		}
	}
}

// expectedBytes returns the declared size of a body, or the limit if there is
// none. A buffer needs one byte more to read the end of the body.
func expectedBytes(r *http.Request, limit int64) int64 {
	if r.ContentLength >= 0 {
		return r.ContentLength
	}
	return limit
}

// growBuffer returns a copy of the data with room for more, up to maxBytes in
// all. The receiver is nil if the connection has no limits.
func (c *conn) growBuffer(ctx context.Context, data []byte, maxBytes int64) ([]byte, error) {
	size := min(int64(cap(data))*bufferGrowth, max(maxBytes, int64(cap(data))+1))
	if c != nil {
		if err := c.limiter.reserve(ctx, c, size-int64(cap(data))); err != nil {
			return nil, err
		}
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	return grown, nil
}

// Decode calls decode for a body of the request with the given size, once there
// is memory for it. It returns the error of decode, or *structs.NotRunError if
// ctx ends before.
func Decode(ctx context.Context, r *http.Request, size int, decode func() error) error {
	c := connOf(r.Context())
	if c == nil || size <= bodyAllowance {
		return decode()
	}
	l := c.limiter
	weight := min(int64(size)*decodeFactor, l.limits.DecodeBytes)
	if err := l.decoding.Acquire(ctx, weight); err != nil {
		l.metrics.countRefusal(refusalDecoding)
		return &structs.NotRunError{Reason: structs.ReasonDeadline, RetryAfter: retryAfter, Err: err}
	}
	defer l.decoding.Release(weight)
	return decode()
}

// Exchange releases the memory of the body of a request, which the handler no
// longer needs, and reserves n bytes for what it has made of it. It returns
// *structs.NotRunError if there is no memory in time.
func Exchange(ctx context.Context, r *http.Request, n int64) error {
	c := connOf(r.Context())
	if c == nil {
		return nil
	}
	c.releaseTo(c.heldByHead)
	return c.limiter.reserve(ctx, c, n-bodyAllowance)
}

// bodyError returns the error of a read from a body. The receiver is nil if the
// connection has no limits.
func (c *conn) bodyError(err error) error {
	switch {
	case c != nil && c.evicted.Load():
		return c.limiter.refuse(refusalEvicted)
	case c != nil && errors.Is(err, os.ErrDeadlineExceeded):
		c.limiter.metrics.countRefusal(refusalBodyTime)
		return &structs.NotRunError{Reason: structs.ReasonDeadline, RetryAfter: retryAfter, Err: err}
	default:
		return fmt.Errorf("read body: %w", err)
	}
}
