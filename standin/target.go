package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/daisywall/daisywall/structs"
)

// RequestIDHeader carries the ID of a request to a target.
const RequestIDHeader = "Request-Id"

// Request kinds of the sample targets.
const (
	KindSlotCheck     = "slot-check"     // idempotent
	KindGrowerPayment = "grower-payment" // not idempotent
	KindAlert         = "alert"          // not idempotent
	KindSighting      = "sighting"       // idempotent, deferred
)

const (
	announceInterval = time.Second
	announceTimeout  = time.Second
	// targetShutdownTimeout is the longest wait for the requests in flight.
	targetShutdownTimeout = 10 * time.Second
	// readHeaderTimeout is the time limit for reading the header of a request.
	readHeaderTimeout = 5 * time.Second
	maxBodyBytes      = 1 << 20
)

// TargetOptions configures a sample target.
type TargetOptions struct {
	Target       structs.Target // target to announce, Run sets its URL
	AgentAddress string         // host:port of the local agent
	ServiceTime  time.Duration  // execution time of one request
}

// Target is a sample target: an HTTP server that announces itself to its local
// agent. It answers POST /v1/<kind> for the kinds in its announcement.
type Target struct {
	Faults TargetFaults

	options TargetOptions
	client  *http.Client

	mu                sync.Mutex
	executions        map[structs.RequestID]int
	inFlight          int
	requestsOverSlots int
	conns             map[net.Conn]struct{}
	connsOverLimit    int
}

// NewTarget returns a target. Run serves it.
func NewTarget(options TargetOptions) *Target {
	return &Target{
		options:    options,
		client:     &http.Client{Timeout: announceTimeout},
		executions: map[structs.RequestID]int{},
		conns:      map[net.Conn]struct{}{},
	}
}

// TargetRecord counts what a target has executed, and its violations of
// declared limits.
type TargetRecord struct {
	Executions      map[structs.RequestID]int `json:"executions"`       // number of executions by request ID, for requests of every kind
	OverSlots       int                       `json:"over_slots"`       // requests beyond the declared slots
	OverConnections int                       `json:"over_connections"` // connections beyond the declared number
}

// Record returns a copy of the counters.
func (t *Target) Record() TargetRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	executions := make(map[structs.RequestID]int, len(t.executions))
	for id, n := range t.executions {
		executions[id] = n
	}
	return TargetRecord{Executions: executions, OverSlots: t.requestsOverSlots, OverConnections: t.connsOverLimit}
}

// ExecutedRepeatedly returns the sorted IDs of requests that were executed more
// than once.
func (r TargetRecord) ExecutedRepeatedly() []structs.RequestID {
	var doubled []structs.RequestID
	for id, n := range r.Executions {
		if n > 1 {
			doubled = append(doubled, id)
		}
	}
	slices.Sort(doubled)
	return doubled
}

// Run serves and announces the target until ctx ends. Then it withdraws the
// announcement and finishes the requests in flight.
func (t *Target) Run(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: t, ReadHeaderTimeout: readHeaderTimeout, ConnState: t.trackConnection}
	target := t.options.Target
	target.URL = "http://" + listener.Addr().String()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve target %s: %w", target.ID, err)
		}
		return nil
	})
	group.Go(func() error {
		t.announce(ctx, target)
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), targetShutdownTimeout)
		defer cancel()
		t.sendAnnouncement(shutdownCtx, http.MethodDelete, target.ID, nil)
		t.client.CloseIdleConnections()
		return server.Shutdown(shutdownCtx)
	})
	return group.Wait()
}

// announce sends the announcement to the agent once per interval until ctx
// ends.
func (t *Target) announce(ctx context.Context, target structs.Target) {
	body, err := json.Marshal(target)
	if err != nil {
		return
	}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		t.sendAnnouncement(ctx, http.MethodPut, target.ID, body)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendAnnouncement sends one announcement or withdrawal. It ignores errors,
// since announce repeats the announcement.
func (t *Target) sendAnnouncement(ctx context.Context, method string, id structs.TargetID, body []byte) {
	url := fmt.Sprintf("http://%s/v1/targets/%s", t.options.AgentAddress, id)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := t.client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes))
	response.Body.Close()
}

// trackConnection counts the open connections and closes new connections beyond
// the declared number.
func (t *Target) trackConnection(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.conns[conn] = struct{}{}
		if limit := t.options.Target.Connections; limit > 0 && len(t.conns) > limit {
			t.connsOverLimit++
			conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, conn)
	}
}

// TargetAnswer is the body of a response.
type TargetAnswer struct {
	RequestID  structs.RequestID `json:"request_id"`
	Kind       string            `json:"kind"`
	Target     structs.TargetID  `json:"target"`
	Subject    string            `json:"subject"`              // delivery or pet of the request
	Free       bool              `json:"free,omitempty"`       // slot-check only
	Recipients int               `json:"recipients,omitempty"` // alert only
}

// targetRequest is the body of a request. Alerts and sightings carry a pet,
// slot checks and payments a delivery.
type targetRequest struct {
	Delivery string `json:"delivery"`
	Pet      string `json:"pet"`
}

// alertRecipients is the number of neighbours that an alert reaches.
const alertRecipients = 40

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := structs.RequestID(r.Header.Get(RequestIDHeader))
	kind := strings.TrimPrefix(r.URL.Path, "/v1/")
	if !slices.Contains(t.options.Target.Kinds, kind) || r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	var request targetRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil || id == "" {
		http.Error(w, "a JSON body and a Request-Id are needed", http.StatusBadRequest)
		return
	}
	p := t.Faults.planRequest()
	if p.fail {
		http.Error(w, "switched to fail", http.StatusInternalServerError)
		return
	}
	t.beginRequest(id)
	defer t.finishRequest()
	if !sleep(r.Context(), t.options.ServiceTime+p.delay) {
		return
	}
	answer := TargetAnswer{RequestID: id, Kind: kind, Target: t.options.Target.ID, Subject: request.Delivery, Free: true}
	switch kind {
	case KindAlert:
		answer.Subject, answer.Free, answer.Recipients = request.Pet, false, alertRecipients
	case KindSighting:
		answer.Subject, answer.Free = request.Pet, false
	}
	writeAnswer(w, r, p, answer)
}

func writeAnswer(w http.ResponseWriter, r *http.Request, p targetFaultPlan, answer TargetAnswer) {
	if p.silence {
		<-r.Context().Done()
		return
	}
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(RequestIDHeader, string(answer.RequestID))
	if !p.cut {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (t *Target) beginRequest(id structs.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.executions[id]++
	t.inFlight++
	if t.inFlight > t.options.Target.Slots {
		t.requestsOverSlots++
	}
}

func (t *Target) finishRequest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

// sleep waits for d and reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
