package httplimit

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Limits of the head of a request, which net/http parses line by line as it
// arrives.
const (
	headerLineBytes = 192     // memory of one header field beside its text
	headerAllowance = 8 << 10 // memory of a head that is not reserved
	// readAheadBytes is what a read may return of the body after the head.
	readAheadBytes = 4 << 10
)

// headUsage is what the head of a request has used so far.
type headUsage struct {
	since    time.Time // arrival of its first byte
	limits   RequestLimits
	bytes    int64
	memory   int64
	reserved int64
	refusal  error // ends all further reads
}

// admitHead reserves memory for a part of a head before net/http parses it. If
// there is none or if the head is too large, it answers the client and returns
// an error that makes net/http close the connection.
func (c *conn) admitHead(part []byte) error {
	c.head.bytes += int64(len(part))
	if c.head.bytes > c.head.limits.HeaderBytes+readAheadBytes {
		c.limiter.metrics.countRefusal(refusalHeadSize)
		return c.refuseHead(http.StatusRequestHeaderFieldsTooLarge, "")
	}
	c.head.memory += int64(len(part)) + headerLineBytes*int64(bytes.Count(part, []byte{'\n'}))
	missing := c.head.memory - headerAllowance - c.head.reserved
	if missing <= 0 {
		return nil
	}
	if err := c.limiter.reserve(context.Background(), c, missing); err != nil {
		var notRun *structs.NotRunError
		if errors.As(err, &notRun) {
			return c.refuseHead(http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %d\r\n", int(notRun.RetryAfter.Seconds())))
		}
		return err
	}
	c.head.reserved += missing
	return nil
}

// refuseHead answers a request whose head net/http has not parsed. net/http may
// read again, since it takes an error within a line for the end of the line.
func (c *conn) refuseHead(status int, fields string) error {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n%sConnection: close\r\n\r\n", status, http.StatusText(status), fields)
	c.head.refusal = fmt.Errorf("head refused: %w", os.ErrDeadlineExceeded)
	return c.head.refusal
}
