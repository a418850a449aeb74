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
	// RequestIDHeader is the header that carries the request ID to the target.
	RequestIDHeader = "Request-Id"
	// targetDialTimeout bounds the establishment of a connection to a target on
	// the same host.
	targetDialTimeout = 2 * time.Second
	// idleConnTimeout is the time after which an idle connection to a target is
	// closed.
	idleConnTimeout = 90 * time.Second
)

// TruncatedAnswerError reports an answer of a target that is truncated, or that
// can't be told from a truncated one.
type TruncatedAnswerError struct {
	Target structs.TargetID
	Cause  string // rule that the answer breaks, or the cause of the read failure
}

func (e *TruncatedAnswerError) Error() string {
	return fmt.Sprintf("answer of target %s is truncated or has no verifiable end: %s", e.Target, e.Cause)
}

// AnswerTooLargeError reports an answer whose body exceeds the size limit.
type AnswerTooLargeError struct {
	Target structs.TargetID
	Limit  int64 // bytes
}

func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("answer of target %s is larger than %d bytes", e.Target, e.Limit)
}

// forwarder sends requests to the targets on this host over HTTP.
type forwarder struct {
	maxAnswerSize int64 // bytes of the body
	newClient     func(connections int) *http.Client

	mu      sync.Mutex
	clients map[structs.TargetID]*targetClient
}

type targetClient struct {
	incarnation string
	connections int
	client      *http.Client
}

func newForwarder(maxAnswerSize int64) *forwarder {
	return &forwarder{maxAnswerSize: maxAnswerSize, newClient: newTargetClient, clients: map[structs.TargetID]*targetClient{}}
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

// clientFor returns the HTTP client for the target's incarnation. Connections
// to an earlier incarnation are not used again.
func (f *forwarder) clientFor(target structs.Target) *http.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	cached, found := f.clients[target.ID]
	if found && cached.incarnation == target.Incarnation && cached.connections == target.Connections {
		return cached.client
	}
	if found {
		cached.client.CloseIdleConnections()
	}
	next := &targetClient{target.Incarnation, target.Connections, f.newClient(target.Connections)}
	f.clients[target.ID] = next
	return next.client
}

// removeAbsent removes the clients of targets that are not present.
func (f *forwarder) removeAbsent(present map[structs.TargetID]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, cached := range f.clients {
		if !present[id] {
			cached.client.CloseIdleConnections()
			delete(f.clients, id)
		}
	}
}

// send forwards a request and reads the complete answer. reached reports
// whether any part of the request may have arrived at the target.
func (f *forwarder) send(ctx context.Context, target structs.Target, request *daisywallpb.ExecuteRequest) (answer *daisywallpb.Answer, reached bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { reached = true }}
	httpRequest, err := newHTTPRequest(httptrace.WithClientTrace(ctx, trace), target, request)
	if err != nil {
		return nil, false, err
	}
	response, err := f.clientFor(target).Do(httpRequest)
	if err != nil {
		return nil, reached, fmt.Errorf("target %s: %w", target.ID, err)
	}
	defer response.Body.Close()
	answer, err = f.readAnswer(target, response)
	return answer, true, err
}

// newHTTPRequest builds the HTTP request to the target.
func newHTTPRequest(ctx context.Context, target structs.Target, request *daisywallpb.ExecuteRequest) (*http.Request, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, strings.TrimSuffix(target.URL, "/")+request.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("target %s: %w", target.ID, err)
	}
	for _, h := range request.Headers {
		if !isHopByHopHeader(h.Name) {
			httpRequest.Header.Add(h.Name, h.Value)
		}
	}
	httpRequest.Header.Set(RequestIDHeader, request.RequestId)
	if request.Idempotent {
		if len(request.Body) > 0 {
			httpRequest.Body = io.NopCloser(bytes.NewReader(request.Body))
			httpRequest.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(request.Body)), nil }
			httpRequest.ContentLength = int64(len(request.Body))
		}
		return httpRequest, nil
	}
	// The transport resends requests that it can rewind when a kept-alive
	// connection fails. It can't rewind a body without GetBody, so it never
	// resends a non-idempotent request, whatever its method.
	httpRequest.Body = io.NopCloser(bytes.NewReader(request.Body))
	httpRequest.ContentLength = int64(len(request.Body))
	return httpRequest, nil
}

// readAnswer reads the complete answer. An answer that ends with the connection
// can't be told from a truncated one and is refused.
func (f *forwarder) readAnswer(target structs.Target, response *http.Response) (*daisywallpb.Answer, error) {
	chunked := len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
	if response.ContentLength < 0 && !chunked && response.ProtoMajor < 2 {
		return nil, &TruncatedAnswerError{Target: target.ID, Cause: "needs Content-Length or chunked encoding"}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, f.maxAnswerSize+1))
	if err != nil {
		return nil, &TruncatedAnswerError{Target: target.ID, Cause: err.Error()}
	}
	if int64(len(body)) > f.maxAnswerSize {
		return nil, &AnswerTooLargeError{Target: target.ID, Limit: f.maxAnswerSize}
	}
	answer := &daisywallpb.Answer{Status: int32(response.StatusCode), Body: body}
	for name, values := range response.Header {
		if isHopByHopHeader(name) {
			continue
		}
		for _, value := range values {
			answer.Headers = append(answer.Headers, &daisywallpb.Header{Name: name, Value: value})
		}
	}
	return answer, nil
}

// isHopByHopHeader reports whether a header applies to a single connection only
// (RFC 9110 section 7.6.1) or is set by the sender of each hop.
func isHopByHopHeader(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Host":
		return true
	}
	return false
}
