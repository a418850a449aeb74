package httplimit

import (
	"errors"
	"io"
	"net/http"
	"time"
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
	deadline := time.Now().Add(idleTimeout)
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
