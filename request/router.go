package request

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/membership"
	"github.com/daisywall/daisywall/structs"
)

const (
	// defaultPlaces bounds the requests at one entry at once.
	defaultPlaces = 4096
	// maintenanceInterval is the time between rounds of Router.Run.
	maintenanceInterval = 100 * time.Millisecond
	// peerUnused is the time after which an unused connection is closed.
	peerUnused = 5 * time.Minute
	// drainPoll is the time between looks at the requests in flight.
	drainPoll = 5 * time.Millisecond
)

// Members lists the targets that serve a kind of request of a team; see
// membership.Registry. The slice is not changed after it was returned.
type Members interface {
	Candidates(team structs.TeamID, kind string) []membership.Candidate
}

// Call is one request of a caller.
type Call struct {
	ID   structs.RequestID // made by the router when empty
	Team structs.TeamID
	Kind string
	Key  string // Idempotency-Key of the caller, may be empty
	// Try numbers the caller's own sends of a key: 1 for the first, which is
	// sent once and may run without a claim while the table is out; above 1
	// for a repetition, which never starts a request that it finds no trace
	// of; 0 when the caller does not say, which needs the table.
	Try     int
	Method  string // default POST
	Path    string // with query
	Headers []*daisywallpb.Header
	Body    []byte
	Timeout time.Duration // default and upper bound: the kind's deadline
}

// Answer is the whole answer of a target.
type Answer struct {
	ID       structs.RequestID // under which the target ran it
	Status   int
	Headers  []*daisywallpb.Header
	Body     []byte
	Worker   structs.WorkerID
	Attempts int
}

// RouterOptions configures a Router. Zero fields take defaults.
type RouterOptions struct {
	FailureDomain structs.FailureDomainID // of this entry
	Members       Members
	Dial          func(address string) (AgentConn, error)
	Config        func() *structs.Config
	// Claims reserves idempotency keys of non-idempotent requests.
	Claims Claims
	Places int  // requests at this entry at once
	Hedge  bool // hedge urgent idempotent requests
	Log    *zap.Logger
	Meter  metric.Meter
}

// Router is the entry's side of requests.
type Router struct {
	options RouterOptions
	metrics routerMetrics
	peers   *peers
	teams   *teams
	acks    *acknowledgements

	mu       sync.Mutex
	services map[serviceKey]*service
	closed   bool
	inFlight int
}

type serviceKey struct {
	team structs.TeamID
	kind string
}

// NewRouter checks the options and returns a Router. It returns
// *structs.InvalidError.
func NewRouter(options RouterOptions) (*Router, error) {
	if options.Members == nil || options.Dial == nil || options.Config == nil || options.Claims == nil {
		return nil, &structs.InvalidError{Subject: "router options", Faults: []structs.Fault{
			{Path: "/", Rule: "needs Members, Dial, Config and Claims"},
		}}
	}
	if options.Places == 0 {
		options.Places = defaultPlaces
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	r := &Router{
		options:  options,
		metrics:  newRouterMetrics(options.Meter),
		teams:    newTeams(options.Places),
		acks:     newAcknowledgements(),
		services: map[serviceKey]*service{},
	}
	r.peers = &peers{dial: options.Dial, onQuiet: r.silent, byAddress: map[string]*peer{}}
	return r, nil
}

// Do carries one request to a target and returns its whole answer. It returns
//   - *structs.NotFoundError when the team or the kind is not configured,
//   - *structs.NotRunError when the request has not run and never will,
//   - *structs.UnknownOutcomeError when it may have run,
//   - *structs.UnavailableError when the request was not sent but an earlier
//     one with its idempotency key may have run.
func (r *Router) Do(ctx context.Context, call Call) (Answer, error) {
	j, err := r.prepare(call)
	if err != nil {
		return Answer{}, err
	}
	if !r.enter() {
		return Answer{}, r.refuse(j, &refusal{structs.ReasonShuttingDown, retryAfterMin})
	}
	defer r.leave()
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if refused := r.teams.enter(call.Team, j.limits, j.urgent); refused != nil {
		return Answer{}, r.refuse(j, refused)
	}
	defer r.teams.leave(call.Team)
	if refused := j.service.admit(ctx, j.urgent, j.deadline); refused != nil {
		return Answer{}, r.refuse(j, refused)
	}
	began := time.Now()
	defer func() { j.service.gate.release(j.urgent, time.Since(began)) }()
	j.service.budget.earn()
	answer, err := r.run(ctx, j)
	r.count(ctx, j, err)
	return answer, err
}

// job is a request on its way through the router.
type job struct {
	call       Call
	id         structs.RequestID
	service    *service
	limits     structs.TeamLimits
	idempotent bool
	urgent     bool
	deadline   time.Time
	attempts   int
	tried      map[*targetState]bool
	unknown    *attempt // first attempt that may have run
}

// prepare looks up the configuration of a call.
func (r *Router) prepare(call Call) (*job, error) {
	team, err := r.options.Config().Team(call.Team)
	if err != nil {
		return nil, err
	}
	kind, err := team.Request(call.Kind)
	if err != nil {
		return nil, err
	}
	if call.Method == "" {
		call.Method = http.MethodPost
	}
	if call.ID == "" {
		call.ID = structs.RequestID(uuid.NewString())
	}
	timeout := kind.Deadline()
	if call.Timeout > 0 && call.Timeout < timeout {
		timeout = call.Timeout
	}
	return &job{
		call: call, id: call.ID, service: r.service(call.Team, call.Kind), limits: team.Limits,
		idempotent: kind.Idempotent, urgent: kind.Urgency == structs.Urgent,
		deadline: time.Now().Add(timeout), tried: map[*targetState]bool{},
	}, nil
}

// service returns the state of a kind of request with its current candidates.
func (r *Router) service(team structs.TeamID, kind string) *service {
	key := serviceKey{team, kind}
	r.mu.Lock()
	s, found := r.services[key]
	if !found {
		s = newService(r.options.FailureDomain)
		r.services[key] = s
	}
	r.mu.Unlock()
	s.chooser.refresh(r.options.Members.Candidates(team, kind))
	return s
}

func (r *Router) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.inFlight++
	return true
}

func (r *Router) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
}

// refuse counts a refusal and returns it as an error.
func (r *Router) refuse(j *job, refused *refusal) error {
	err := refused.asError()
	r.count(context.Background(), j, err)
	return err
}

// silent takes note of a connection that was replaced.
func (r *Router) silent(address string) {
	r.metrics.silences.Add(context.Background(), 1)
	r.options.Log.Info("silent connection replaced", zap.String("agent", address))
}

// Run sends acknowledgements and closes unused connections until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.peers.closeUnused(0)
			return nil
		case <-ticker.C:
			r.sendAcknowledgements(ctx)
			r.peers.closeUnused(peerUnused)
		}
	}
}

// Stop refuses new requests and waits until those in flight have ended, or
// until ctx ends, which it returns as an error. Run must still be running.
func (r *Router) Stop(ctx context.Context) error {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for r.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	r.sendAcknowledgements(ctx)
	return nil
}

// InFlight returns the number of requests that callers wait for.
func (r *Router) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inFlight
}

// count counts the end of a request.
func (r *Router) count(ctx context.Context, j *job, err error) {
	team := attribute.String("team", string(j.call.Team))
	r.metrics.requests.Add(ctx, 1, metric.WithAttributes(team))
	switch e := err.(type) { //nolint:errorlint // the router returns these types unwrapped
	case nil:
		r.metrics.answers.Add(ctx, 1, metric.WithAttributes(team))
	case *structs.NotRunError:
		r.metrics.notRun.Add(ctx, 1, metric.WithAttributes(team, attribute.String("reason", string(e.Reason))))
	default:
		r.metrics.unknown.Add(ctx, 1, metric.WithAttributes(team))
	}
}
