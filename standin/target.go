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
	// targetShutdown bounds the wait for the requests in flight.
	targetShutdown = 10 * time.Second
	// readHeaderTimeout bounds the reading of the head of a request.
	readHeaderTimeout = 5 * time.Second
	maxBodyBytes      = 1 << 20
)

// TargetOptions configures a sample target.
type TargetOptions struct {
	Target       structs.Target // URL is set when it is served
	AgentAddress string         // host:port of the local agent
	ServiceTime  time.Duration  // of one request
}

// Target is a sample target: an HTTP server that announces itself to its local
// agent. It answers POST /v1/<kind> for the kinds that it announces.
type Target struct {
	Faults TargetFaults

	options TargetOptions
	client  *http.Client

	mu         sync.Mutex
	executions map[structs.RequestID]int
	inFlight   int
	overSlots  int
	conns      map[net.Conn]struct{}
	overConns  int
}

// NewTarget returns a target that is not served yet.
func NewTarget(options TargetOptions) *Target {
	return &Target{
		options:    options,
		client:     &http.Client{Timeout: announceTimeout},
		executions: map[structs.RequestID]int{},
		conns:      map[net.Conn]struct{}{},
	}
}

// TargetRecord is what a target has seen.
type TargetRecord struct {
	Executions      map[structs.RequestID]int `json:"executions"` // by request ID, of every kind
	OverSlots       int                       `json:"over_slots"` // requests above the declared slots
	OverConnections int                       `json:"over_connections"`
}

// Record returns what the target has seen.
func (t *Target) Record() TargetRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	executions := make(map[structs.RequestID]int, len(t.executions))
	for id, n := range t.executions {
		executions[id] = n
	}
	return TargetRecord{Executions: executions, OverSlots: t.overSlots, OverConnections: t.overConns}
}

// Doubled returns the sorted IDs of requests that ran more than once.
func (r TargetRecord) Doubled() []structs.RequestID {
	var doubled []structs.RequestID
	for id, n := range r.Executions {
		if n > 1 {
			doubled = append(doubled, id)
		}
	}
	slices.Sort(doubled)
	return doubled
}

// Run serves and announces the target until ctx ends. Then it withdraws from
// the agent and finishes the requests in flight.
func (t *Target) Run(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: t, ReadHeaderTimeout: readHeaderTimeout, ConnState: t.connState}
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
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), targetShutdown)
		defer cancel()
		t.tell(closing, http.MethodDelete, target.ID, nil)
		t.client.CloseIdleConnections()
		return server.Shutdown(closing)
	})
	return group.Wait()
}

// announce tells the agent of the target at every interval until ctx ends.
func (t *Target) announce(ctx context.Context, target structs.Target) {
	body, err := json.Marshal(target)
	if err != nil {
		return
	}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		t.tell(ctx, http.MethodPut, target.ID, body)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// tell sends one announcement. The next one makes up for a failure.
func (t *Target) tell(ctx context.Context, method string, id structs.TargetID, body []byte) {
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

// connState closes connections above the declared number.
func (t *Target) connState(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.conns[conn] = struct{}{}
		if limit := t.options.Target.Connections; limit > 0 && len(t.conns) > limit {
			t.overConns++
			conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, conn)
	}
}

// TargetAnswer is the body of an answer.
type TargetAnswer struct {
	RequestID  structs.RequestID `json:"request_id"`
	Kind       string            `json:"kind"`
	Target     structs.TargetID  `json:"target"`
	Subject    string            `json:"subject"`              // delivery or animal of the request
	Free       bool              `json:"free,omitempty"`       // slot-check
	Recipients int               `json:"recipients,omitempty"` // alert
}

// targetRequest is the body of a request. Alerts and sightings name a pet, slot
// checks and payments a delivery.
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
	p := t.Faults.plan()
	if p.fail {
		http.Error(w, "switched to fail", http.StatusInternalServerError)
		return
	}
	t.begin(id)
	defer t.finish()
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
	respond(w, r, p, answer)
}

func respond(w http.ResponseWriter, r *http.Request, p targetPlan, answer TargetAnswer) {
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

func (t *Target) begin(id structs.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.executions[id]++
	t.inFlight++
	if t.inFlight > t.options.Target.Slots {
		t.overSlots++
	}
}

func (t *Target) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

// sleep reports false when ctx ended first.
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
