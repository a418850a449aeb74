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
	// registrationBytesPerSecond bounds the traffic of registrations at one
	// entry, in both directions together. It is below the 11 KB a second that a
	// daemon may use for all control traffic.
	registrationBytesPerSecond = 8 << 10
	// messageOverheadBytes is the size that transport and headers add to a
	// registration and its response.
	messageOverheadBytes = 150
	// minRegisterInterval and maxRegisterInterval bound the interval between
	// registrations that an entry grants.
	minRegisterInterval = time.Second
	maxRegisterInterval = 5 * time.Minute
	// ttlIntervals is the number of registration intervals after which a
	// registration expires.
	ttlIntervals = 3
	// maxPastIncarnations bounds the former incarnations of an agent whose
	// delayed messages are recognised.
	maxPastIncarnations = 8
	// maxAgents bounds the agents that an entry holds.
	maxAgents = 100_000
	// expirySweepInterval is the time between removals of expired registrations.
	expirySweepInterval = time.Second
)

// Candidate is a target that an entry may send a request to.
type Candidate struct {
	Worker        structs.WorkerID
	FailureDomain structs.FailureDomainID
	Address       string // peer address of the agent
	Incarnation   string // incarnation of the agent process
	Target        structs.Target
	// AgentClock is a reading of the agent's monotonic clock. It was taken no
	// later than ClockReadAt, a time of the entry's clock.
	AgentClock  time.Duration
	ClockReadAt time.Time
}

// RegistryOptions configures a Registry. Zero fields take defaults.
type RegistryOptions struct {
	Entry   structs.EntryID
	Address string // peer address of this entry
	// Entries returns the peer addresses of the other entries.
	// EntryDirectory.Entries implements it.
	Entries func() []string
	// OnEntryAnnounced is called with the address of an entry that announced
	// itself directly. EntryDirectory.RecordEntry implements it.
	OnEntryAnnounced func(address string)
	// Config returns the revision and the JSON of the configuration. May be nil.
	Config func() (revision int64, document []byte)
	Log    *zap.Logger
	Meter  metric.Meter
}

// Registry holds the agents and targets that registered with this entry. It
// implements the Entry service. Registrations expire by this process's own
// monotonic clock.
type Registry struct {
	daisywallpb.UnimplementedEntryServer
	options RegistryOptions
	metrics registryMetrics

	mu                  sync.Mutex
	agents              map[structs.WorkerID]*agentRecord
	leaders             cellLeaders
	averageMessageBytes float64 // smoothed size of a registration and its response
	index               *candidateIndex
}

type agentRecord struct {
	worker           structs.WorkerID
	failureDomain    structs.FailureDomainID
	address          string
	incarnation      string
	pastIncarnations []string // former incarnations of the agent process, the latest last
	sequence         int64
	targets          []structs.Target
	leaving          bool
	expiresAt        time.Time
	agentClock       time.Duration
	clockReadAt      time.Time
	configRevision   int64 // revision of the configuration in force at the agent
}

// NewRegistry returns an empty registry.
func NewRegistry(options RegistryOptions) *Registry {
	if options.Entries == nil {
		options.Entries = func() []string { return nil }
	}
	if options.OnEntryAnnounced == nil {
		options.OnEntryAnnounced = func(string) {}
	}
	if options.Config == nil {
		options.Config = func() (int64, []byte) { return 0, nil }
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	r := &Registry{
		options:             options,
		metrics:             newRegistryMetrics(options.Meter),
		agents:              map[structs.WorkerID]*agentRecord{},
		leaders:             cellLeaders{},
		averageMessageBytes: messageOverheadBytes,
		index:               newCandidateIndex(),
	}
	return r
}

// Candidates returns the targets that serve the kind for the team. The slice
// is shared and must not be changed.
func (r *Registry) Candidates(team structs.TeamID, kind string) []Candidate {
	return r.index.list(kindKey{team, kind})
}

// AgentCount returns the number of registered agents.
func (r *Registry) AgentCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.agents)
}

// Register implements the Entry service.
func (r *Registry) Register(ctx context.Context, request *daisywallpb.RegisterRequest) (*daisywallpb.RegisterResponse, error) {
	r.metrics.registrations.Add(ctx, 1)
	response := &daisywallpb.RegisterResponse{Entry: string(r.options.Entry), Entries: r.entryAddresses()}
	if request.EntryAddress != "" {
		r.options.OnEntryAnnounced(request.EntryAddress)
		response.IntervalMs = entryWriteInterval.Milliseconds()
		return response, nil
	}
	revision, document := r.options.Config()
	response.ConfigRevision = revision
	if revision > request.ConfigRevision {
		response.Config = document
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	response.WantFull = r.applyRegistration(request, time.Now())
	response.LeaderAddress = r.leaders.recordAndFindNewer(request)
	r.recordMessageSize(ctx, request, response)
	interval := r.registerInterval()
	response.IntervalMs = interval.Milliseconds()
	response.TtlMs = (ttlIntervals * interval).Milliseconds()
	return response, nil
}

func (r *Registry) entryAddresses() []string {
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

// applyRegistration applies a registration unless it is out of order. It reports
// whether the agent must send its full list of targets. The caller holds r.mu.
func (r *Registry) applyRegistration(request *daisywallpb.RegisterRequest, now time.Time) (wantFull bool) {
	worker := structs.WorkerID(request.Worker)
	record, found := r.agents[worker]
	if found && record.isNewerThan(request) {
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
	record.failureDomain = structs.FailureDomainID(request.FailureDomain)
	record.address = request.Address
	record.sequence = request.Sequence
	record.leaving = request.Leaving
	record.configRevision = request.ConfigRevision
	record.agentClock = time.Duration(request.AgentClockMs) * time.Millisecond
	record.clockReadAt = now
	if !request.Unchanged {
		record.targets = targetsOf(request)
	}
	record.expiresAt = now.Add(ttlIntervals*r.registerInterval() + registerTimeout)
	if changed {
		r.index.replace(record.worker, record.candidates())
	}
	return false
}

// isNewerThan reports whether the record is newer than a registration.
func (a *agentRecord) isNewerThan(request *daisywallpb.RegisterRequest) bool {
	if request.AgentIncarnation == a.incarnation {
		return request.Sequence <= a.sequence
	}
	for _, past := range a.pastIncarnations {
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
	next.pastIncarnations = append(append(next.pastIncarnations, a.pastIncarnations...), a.incarnation)
	if extra := len(next.pastIncarnations) - maxPastIncarnations; extra > 0 {
		next.pastIncarnations = next.pastIncarnations[extra:]
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

// recordMessageSize updates the smoothed size of a registration and its response.
// The caller holds r.mu.
func (r *Registry) recordMessageSize(ctx context.Context, request *daisywallpb.RegisterRequest, response *daisywallpb.RegisterResponse) {
	const smoothing = 0.05
	// Configuration documents are rare and are not part of the steady traffic.
	size := proto.Size(request) + proto.Size(response) - len(response.Config) + messageOverheadBytes
	r.metrics.bytes.Add(ctx, int64(size+len(response.Config)))
	r.averageMessageBytes += smoothing * (float64(size) - r.averageMessageBytes)
}

// registerInterval returns the time between registrations at which the traffic of
// all agents stays within registrationBytesPerSecond. The caller holds r.mu.
func (r *Registry) registerInterval() time.Duration {
	seconds := float64(len(r.agents)) * r.averageMessageBytes / registrationBytesPerSecond
	interval := time.Duration(seconds * float64(time.Second))
	return min(max(interval, minRegisterInterval), maxRegisterInterval)
}

// Run removes expired registrations until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	ticker := time.NewTicker(expirySweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.removeExpired(time.Now())
		}
	}
}

func (r *Registry) removeExpired(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	removed := 0
	for worker, record := range r.agents {
		if now.Before(record.expiresAt) {
			continue
		}
		delete(r.agents, worker)
		r.index.replace(worker, nil)
		removed++
		r.options.Log.Info("agent registration expired", zap.String("worker", string(worker)))
	}
	if removed > 0 {
		r.metrics.expired.Add(context.Background(), int64(removed))
	}
}
