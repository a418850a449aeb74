package request

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

const (
	// RequestIDHeader carries the request ID to the target.
	RequestIDHeader = "Request-Id"
	// targetDialTimeout bounds the connection to a target on the same host.
	targetDialTimeout = 2 * time.Second
	// idleConnTimeout ends idle connections to targets.
	idleConnTimeout = 90 * time.Second
)

// TruncatedAnswerError reports an answer of a target whose end cannot be
// verified.
type TruncatedAnswerError struct {
	Target structs.TargetID
	Rule   string
}

func (e *TruncatedAnswerError) Error() string {
	return fmt.Sprintf("answer of target %s is not whole: %s", e.Target, e.Rule)
}

// AnswerTooLargeError reports an answer above the bound.
type AnswerTooLargeError struct {
	Target structs.TargetID
	Limit  int64 // bytes
}

func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("answer of target %s is larger than %d bytes", e.Target, e.Limit)
}

// forwarder sends requests to the targets of this host.
type forwarder struct {
	maxAnswer int64
	newClient func(connections int) *http.Client

	mu      sync.Mutex
	clients map[structs.TargetID]*targetClient
}

type targetClient struct {
	incarnation string
	connections int
	client      *http.Client
}

func newForwarder(maxAnswer int64) *forwarder {
	return &forwarder{maxAnswer: maxAnswer, newClient: newTargetClient, clients: map[structs.TargetID]*targetClient{}}
}

// newTargetClient returns a client that opens at most the given number of
// connections.
func newTargetClient(connections int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: targetDialTimeout}).DialContext,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// client returns the client of the target's incarnation. Connections to a
// former incarnation are not used again.
func (f *forwarder) client(target structs.Target) *http.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.clients[target.ID]
	if found && known.incarnation == target.Incarnation && known.connections == target.Connections {
		return known.client
	}
	if found {
		known.client.CloseIdleConnections()
	}
	next := &targetClient{target.Incarnation, target.Connections, f.newClient(target.Connections)}
	f.clients[target.ID] = next
	return next.client
}

// forget drops the clients of targets that are not present.
func (f *forwarder) forget(present map[structs.TargetID]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, known := range f.clients {
		if !present[id] {
			known.client.CloseIdleConnections()
			delete(f.clients, id)
		}
	}
}

// send forwards a request and reads the whole answer. reached reports whether
// any part of it may have arrived at the target.
func (f *forwarder) send(ctx context.Context, target structs.Target, request *daisywallpb.ExecuteRequest) (answer *daisywallpb.Answer, reached bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { reached = true }}
	hr, err := newHTTPRequest(httptrace.WithClientTrace(ctx, trace), target, request)
	if err != nil {
		return nil, false, err
	}
	response, err := f.client(target).Do(hr)
	if err != nil {
		return nil, reached, fmt.Errorf("target %s: %w", target.ID, err)
	}
	defer response.Body.Close()
	answer, err = f.read(target, response)
	return answer, true, err
}

// newHTTPRequest builds the request to the target.
func newHTTPRequest(ctx context.Context, target structs.Target, request *daisywallpb.ExecuteRequest) (*http.Request, error) {
	hr, err := http.NewRequestWithContext(ctx, request.Method, strings.TrimSuffix(target.URL, "/")+request.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("target %s: %w", target.ID, err)
	}
	for _, h := range request.Headers {
		if !hopByHop(h.Name) {
			hr.Header.Add(h.Name, h.Value)
		}
	}
	hr.Header.Set(RequestIDHeader, request.RequestId)
	if request.Idempotent {
		if len(request.Body) > 0 {
			hr.Body = io.NopCloser(bytes.NewReader(request.Body))
			hr.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(request.Body)), nil }
			hr.ContentLength = int64(len(request.Body))
		}
		return hr, nil
	}
	// The transport repeats requests that it can rewind when a kept-alive
	// connection fails. A body without GetBody can't be rewound, so that it
	// never repeats a non-idempotent request, whatever its method.
	hr.Body = io.NopCloser(bytes.NewReader(request.Body))
	hr.ContentLength = int64(len(request.Body))
	return hr, nil
}

// read reads the whole answer. An answer that ends with the connection can't
// be told from a truncated one and is refused.
func (f *forwarder) read(target structs.Target, response *http.Response) (*daisywallpb.Answer, error) {
	chunked := len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
	if response.ContentLength < 0 && !chunked && response.ProtoMajor < 2 {
		return nil, &TruncatedAnswerError{Target: target.ID, Rule: "needs Content-Length or chunked encoding"}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, f.maxAnswer+1))
	if err != nil {
		return nil, &TruncatedAnswerError{Target: target.ID, Rule: err.Error()}
	}
	if int64(len(body)) > f.maxAnswer {
		return nil, &AnswerTooLargeError{Target: target.ID, Limit: f.maxAnswer}
	}
	answer := &daisywallpb.Answer{Status: int32(response.StatusCode), Body: body}
	for name, values := range response.Header {
		if hopByHop(name) {
			continue
		}
		for _, value := range values {
			answer.Headers = append(answer.Headers, &daisywallpb.Header{Name: name, Value: value})
		}
	}
	return answer, nil
}

// hopByHop reports whether a header belongs to one connection only (RFC 9110
// section 7.6.1), or is set anew by the sender.
func hopByHop(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Host":
		return true
	}
	return false
}
