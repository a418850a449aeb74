package membership

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

const (
	// registerBudget is the traffic in bytes a second, both ways, that
	// registrations may take at one entry. It is below the 11 KB a second
	// that a daemon has for all control traffic.
	registerBudget = 8 << 10
	// messageOverhead is the number of bytes that transport and headers add
	// to a registration and its answer.
	messageOverhead = 150
	// minInterval and maxInterval bound the granted interval.
	minInterval = time.Second
	maxInterval = 5 * time.Minute
	// ttlIntervals is the number of intervals after which a registration ends.
	ttlIntervals = 3
	// pastIncarnations is the number of former incarnations of an agent whose
	// delayed messages are recognised.
	pastIncarnations = 8
	// maxAgents bounds the agents that an entry holds.
	maxAgents = 100_000
	// expirySweep is the time between sweeps of ended registrations.
	expirySweep = time.Second
)

// Candidate is a target that an entry may send a request to.
type Candidate struct {
	Worker        structs.WorkerID
	FailureDomain structs.FailureDomainID
	Address       string // peer address of the agent
	Incarnation   string // of the agent process
	Target        structs.Target
	// AgentClock is the agent's monotonic clock as it was, at the latest, at
	// the entry's time ClockRead.
	AgentClock time.Duration
	ClockRead  time.Time
}

// RegistryOptions configures a Registry. Zero fields take defaults.
type RegistryOptions struct {
	Entry   structs.EntryID
	Address string // peer address of this entry
	// Entries names the peer addresses of the other entries; see EntryRows.
	Entries func() []string
	// NoteEntry is told of an entry that announced itself; see EntryRows.
	NoteEntry func(address string)
	// Config returns the configuration's revision and JSON; may be nil.
	Config func() (revision int64, document []byte)
	Log    *zap.Logger
	Meter  metric.Meter
}

// Registry holds the agents and targets that registered with this entry. It
// implements the Entry service. Registrations end by this process's own
// monotonic clock.
type Registry struct {
	daisywallpb.UnimplementedEntryServer
	options RegistryOptions
	metrics registryMetrics

	mu      sync.Mutex
	agents  map[structs.WorkerID]*agentRecord
	leaders leaders
	message float64 // smoothed bytes of a registration and its answer
	index   *candidateIndex
}

type agentRecord struct {
	worker      structs.WorkerID
	domain      structs.FailureDomainID
	address     string
	incarnation string
	past        []string // former incarnations, the latest last
	sequence    int64
	targets     []structs.Target
	leaving     bool
	expires     time.Time
	clock       time.Duration
	clockRead   time.Time
	revision    int64 // of the configuration in force at the agent
}

// NewRegistry returns an empty registry.
func NewRegistry(options RegistryOptions) *Registry {
	if options.Entries == nil {
		options.Entries = func() []string { return nil }
	}
	if options.NoteEntry == nil {
		options.NoteEntry = func(string) {}
	}
	if options.Config == nil {
		options.Config = func() (int64, []byte) { return 0, nil }
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	r := &Registry{
		options: options,
		metrics: newRegistryMetrics(options.Meter),
		agents:  map[structs.WorkerID]*agentRecord{},
		leaders: leaders{},
		message: messageOverhead,
		index:   newCandidateIndex(),
	}
	return r
}

// Candidates returns the targets that serve the kind for the team. The slice
// is shared and must not be changed.
func (r *Registry) Candidates(team structs.TeamID, kind string) []Candidate {
	return r.index.list(serviceKey{team, kind})
}

// Agents returns the number of registered agents.
func (r *Registry) Agents() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.agents)
}

// Register implements the Entry service.
func (r *Registry) Register(ctx context.Context, request *daisywallpb.RegisterRequest) (*daisywallpb.RegisterResponse, error) {
	r.metrics.registrations.Add(ctx, 1)
	response := &daisywallpb.RegisterResponse{Entry: string(r.options.Entry), Entries: r.entries()}
	if request.EntryAddress != "" {
		r.options.NoteEntry(request.EntryAddress)
		response.IntervalMs = entryBeat.Milliseconds()
		return response, nil
	}
	revision, document := r.options.Config()
	response.ConfigRevision = revision
	if revision > request.ConfigRevision {
		response.Config = document
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	response.WantFull = r.take(request, time.Now())
	response.LeaderAddress = r.leaders.exchange(request)
	r.measure(ctx, request, response)
	interval := r.interval()
	response.IntervalMs = interval.Milliseconds()
	response.TtlMs = (ttlIntervals * interval).Milliseconds()
	return response, nil
}

func (r *Registry) entries() []string {
	others := r.options.Entries()
	list := make([]string, 0, len(others)+1)
	list = append(list, r.options.Address)
	for _, address := range others {
		if address != r.options.Address {
			list = append(list, address)
		}
	}
	return list
}

// take applies a registration unless it is out of order, and reports whether
// the full list is needed. The caller holds the lock.
func (r *Registry) take(request *daisywallpb.RegisterRequest, now time.Time) (wantFull bool) {
	worker := structs.WorkerID(request.Worker)
	record, found := r.agents[worker]
	if found && record.outdates(request) {
		r.metrics.stale.Add(context.Background(), 1)
		return false
	}
	if !found || record.incarnation != request.AgentIncarnation {
		if request.Unchanged {
			return true
		}
		if !found && len(r.agents) >= maxAgents {
			return false
		}
		record = record.successor(worker, request.AgentIncarnation)
		r.agents[worker] = record
		r.options.Log.Info("agent registered", zap.String("worker", request.Worker))
	}
	changed := record.leaving != request.Leaving || !request.Unchanged
	record.domain = structs.FailureDomainID(request.FailureDomain)
	record.address = request.Address
	record.sequence = request.Sequence
	record.leaving = request.Leaving
	record.revision = request.ConfigRevision
	record.clock = time.Duration(request.AgentClockMs) * time.Millisecond
	record.clockRead = now
	if !request.Unchanged {
		record.targets = targetsOf(request)
	}
	record.expires = now.Add(ttlIntervals*r.interval() + registerTimeout)
	if changed {
		r.index.replace(record.worker, record.candidates())
	}
	return false
}

// outdates reports whether a message is older than what the record holds.
func (a *agentRecord) outdates(request *daisywallpb.RegisterRequest) bool {
	if request.AgentIncarnation == a.incarnation {
		return request.Sequence <= a.sequence
	}
	for _, past := range a.past {
		if past == request.AgentIncarnation {
			return true
		}
	}
	return false
}

// successor returns the record of a new incarnation. The receiver may be nil.
func (a *agentRecord) successor(worker structs.WorkerID, incarnation string) *agentRecord {
	next := &agentRecord{worker: worker, incarnation: incarnation}
	if a == nil {
		return next
	}
	next.past = append(append(next.past, a.past...), a.incarnation)
	if extra := len(next.past) - pastIncarnations; extra > 0 {
		next.past = next.past[extra:]
	}
	return next
}

func targetsOf(request *daisywallpb.RegisterRequest) []structs.Target {
	list := make([]structs.Target, 0, len(request.Targets))
	for _, t := range request.Targets {
		list = append(list, structs.Target{
			ID: structs.TargetID(t.Id), Team: structs.TeamID(t.Team), Kinds: t.Kinds,
			Incarnation: t.Incarnation, Slots: int(t.Slots), Connections: int(t.Connections),
		})
	}
	return list
}

// measure smooths the size of registrations. The caller holds the lock.
func (r *Registry) measure(ctx context.Context, request *daisywallpb.RegisterRequest, response *daisywallpb.RegisterResponse) {
	const smoothing = 0.05
	// Configuration documents are rare and are not part of the steady traffic.
	size := proto.Size(request) + proto.Size(response) - len(response.Config) + messageOverhead
	r.metrics.bytes.Add(ctx, int64(size+len(response.Config)))
	r.message += smoothing * (float64(size) - r.message)
}

// interval returns the time between registrations at which all agents stay
// within the budget. The caller holds the lock.
func (r *Registry) interval() time.Duration {
	seconds := float64(len(r.agents)) * r.message / registerBudget
	interval := time.Duration(seconds * float64(time.Second))
	return min(max(interval, minInterval), maxInterval)
}

// Run removes ended registrations until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	ticker := time.NewTicker(expirySweep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.sweep(time.Now())
		}
	}
}

func (r *Registry) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	removed := 0
	for worker, record := range r.agents {
		if now.Before(record.expires) {
			continue
		}
		delete(r.agents, worker)
		r.index.replace(worker, nil)
		removed++
		r.options.Log.Info("agent registration ended", zap.String("worker", string(worker)))
	}
	if removed > 0 {
		r.metrics.expired.Add(context.Background(), int64(removed))
	}
}
