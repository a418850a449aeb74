package daemon

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/daisywall/daisywall/api/configpb"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/burn"
	"github.com/daisywall/daisywall/cell"
	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/config"
	"github.com/daisywall/daisywall/entryapi"
	"github.com/daisywall/daisywall/httplimit"
	"github.com/daisywall/daisywall/kernel"
	"github.com/daisywall/daisywall/membership"
	"github.com/daisywall/daisywall/request"
	"github.com/daisywall/daisywall/settings"
	platformclient "github.com/daisywall/daisywall/substrate/rpc/client"
	"github.com/daisywall/daisywall/telemetry"
)

// Timeouts of an entry.
const (
	entryStopTimeout   = 30 * time.Second // stops each service within this time, in addition to the drain time
	entryWarmUpTimeout = 30 * time.Second // the entry accepts calls after this time even without a configuration or a registered agent
)

// RunEntry runs an entry until ctx ends, and then stops it gracefully.
func RunEntry(ctx context.Context, s settings.Entry) error {
	e, err := newEntry(s)
	if err != nil {
		return err
	}
	return e.kernel.Run(ctx)
}

// entry holds the components of one entry. The kernel starts and stops their
// goroutines.
type entry struct {
	settings       settings.Entry
	telemetry      *telemetry.Telemetry
	kernel         *kernel.Kernel
	platform       *platformclient.Conn
	peers          *peerPool
	holder         *config.Holder
	watcher        *config.Watcher
	entryDirectory *membership.EntryDirectory
	registry       *membership.Registry
	router         *request.Router
	jobs           *cell.Jobs
	leaders        *leaderClient
	serviceJobs    *serviceJobReconciler
	burn           *burnReporter
	api            *entryapi.Server
	started        time.Time
	draining       atomic.Bool
}

func newEntry(s settings.Entry) (*entry, error) {
	t, err := telemetry.New("entry", s.LogLevel)
	if err != nil {
		return nil, err
	}
	s.Limits.Host().LimitHeap()
	e := &entry{
		settings:  s,
		telemetry: t,
		kernel:    kernel.New(entryStopTimeout + s.Drain()),
		peers:     newPeerPool(),
		holder:    config.NewHolder(),
		started:   time.Now(),
	}
	for _, build := range []func() error{e.buildPlatform, e.buildMembership, e.buildJobs, e.buildRouter, e.buildAPI, e.register} {
		if err := build(); err != nil {
			return nil, err
		}
	}
	return e, nil
}

func (e *entry) buildPlatform() error {
	conn, err := platformclient.Dial(e.settings.Platform.Address, platformclient.Options{
		Timeout: e.settings.Platform.Timeout(),
		Meters:  e.telemetry.Meters,
	})
	if err != nil {
		return err
	}
	e.platform = conn
	return nil
}

func (e *entry) buildMembership() error {
	e.entryDirectory = membership.NewEntryDirectory(membership.EntryDirectoryOptions{
		Entry:   e.settings.Entry,
		Address: e.settings.PeerAddress,
		Table:   e.platform.Table(),
		Seeds:   e.settings.Entries,
		Dial:    membership.GRPCDialer(peerDialOptions()...),
		Log:     e.telemetry.Log.Named("entries"),
		Meter:   e.telemetry.Meters.Meter("entries"),
	})
	e.registry = membership.NewRegistry(membership.RegistryOptions{
		Entry:            e.settings.Entry,
		Address:          e.settings.PeerAddress,
		Entries:          e.entryDirectory.Entries,
		OnEntryAnnounced: e.entryDirectory.RecordEntry,
		// Agents receive the content of the configuration from the leader of
		// their cell.
		Config: func() (int64, []byte) { return e.holder.Revision(), nil },
		Log:    e.telemetry.Log.Named("registry"),
		Meter:  e.telemetry.Meters.Meter("registry"),
	})
	otherPeers := config.NewRemotePeers(e.newestAgents)
	e.watcher = config.NewWatcher(e.platform.Table(), e.holder, otherPeers, e.telemetry.Log.Named("config"), config.WatcherOptions{})
	return nil
}

func (e *entry) buildJobs() error {
	timeout := e.settings.Platform.Timeout()
	e.leaders = newLeaderClient(cell.NewDirectory(e.platform.Table(), timeout), e.peers)
	e.jobs = cell.NewJobs(e.platform.Table(), timeout, e.leaders.notify)
	e.burn = newBurnReporter(e.platform.Table(), timeout, string(e.settings.Entry), e.holder.Current, func() bool { return true })
	e.serviceJobs = &serviceJobReconciler{jobs: e.jobs, holder: e.holder, log: e.telemetry.Log.Named("services")}
	return nil
}

func (e *entry) buildRouter() error {
	router, err := request.NewRouter(request.RouterOptions{
		FailureDomain: e.settings.FailureDomain,
		Candidates:    e.registry,
		Dial:          request.GRPCDialer(peerDialOptions()...),
		Config:        e.holder.Current,
		Claims:        request.NewTableClaimStore(e.platform.Table()),
		Log:           e.telemetry.Log.Named("router"),
		Meter:         e.telemetry.Meters.Meter("router"),
	})
	e.router = router
	return err
}

func (e *entry) buildAPI() error {
	api, err := entryapi.New(entryapi.Options{
		Requests:  e.router,
		Observer:  e.burn,
		Jobs:      jobsAdapter{e.jobs},
		Domains:   domainsAdapter{cell.NewDomains(e.platform.Table(), e.settings.Platform.Timeout())},
		Config:    configAdapter{store: config.NewStore(e.platform.Table()), holder: e.holder, workers: e.workerRevisions},
		Targets:   e.listTargets,
		Explain:   e.leaders,
		Burn:      e.burn,
		Objects:   e.platform.Objects(),
		Metrics:   e.telemetry.Metrics,
		Meter:     e.telemetry.Meters.Meter("api"),
		Accepting: e.accepting,
	})
	e.api = api
	return err
}

// register adds the services to the kernel. On a stop, the load balancer's
// health check fails first, then the calls in flight finish, and then the other
// services stop.
func (e *entry) register() error {
	server := &grpcServer{address: e.settings.PeerAddress, log: e.telemetry.Log, register: func(g *grpc.Server) {
		daisywallpb.RegisterEntryServer(g, e.registry)
		configpb.RegisterConfigServer(g, config.NewServer(e.holder))
	}}
	routerService := newBackgroundService(e.router.Run)
	limits := httplimit.Options{Server: "api", Limits: e.settings.Limits.Host().Main(), Meter: e.telemetry.Meters.Meter("http")}
	apiServer := &httpServer{address: e.settings.HTTPAddress, handler: e.api, beforeShutdown: e.drain, limits: limits}
	services := []struct {
		name    string
		service kernel.Service
		needs   []string
	}{
		{"telemetry", funcService{stop: e.telemetry.Close}, nil},
		{"platform", funcService{stop: func(context.Context) error { return e.platform.Close() }}, []string{"telemetry"}},
		{"peers", funcService{stop: func(context.Context) error { e.peers.close(); return nil }}, []string{"telemetry"}},
		{"config", newBackgroundService(e.watcher.Run), []string{"platform"}},
		{"peer-server", server, []string{"telemetry"}},
		{"registry", newBackgroundService(e.registry.Run), []string{"peer-server"}},
		{"entries", newBackgroundService(e.entryDirectory.Run), []string{"peer-server", "platform"}},
		{"services", newBackgroundService(e.serviceJobs.run), []string{"config"}},
		{"claim-sweeper", newBackgroundService(request.NewClaimSweeper(e.platform.Table(), e.telemetry.Log.Named("claims")).Run), []string{"platform"}},
		{"job-sweeper", newBackgroundService(cell.NewSweeper(e.jobs, e.platform.Objects(), e.telemetry.Log.Named("jobs")).Run), []string{"platform"}},
		{"burn", newBackgroundService(e.burn.flusher.Run), []string{"platform"}},
		{"away", newBackgroundService(e.burn.pollOutDomains), []string{"platform"}},
		{"burn-folder", newBackgroundService(burn.NewFolder(e.platform.Table(), e.telemetry.Log.Named("burn")).Run), []string{"platform"}},
		{"router", funcService{start: routerService.Start, stop: e.stopRouter(routerService)}, []string{"registry", "config", "peers"}},
		{"api", apiServer, []string{"router", "platform", "burn"}},
	}
	for _, s := range services {
		if err := e.kernel.Register(s.name, s.service, s.needs...); err != nil {
			return err
		}
	}
	return nil
}

// accepting reports whether the load balancer should send calls to this entry.
// An entry that is not draining accepts calls if it has a configuration and a
// registered agent, or if its warm-up time has passed.
func (e *entry) accepting() bool {
	if e.draining.Load() {
		return false
	}
	ready := e.registry.AgentCount() > 0 && e.holder.Revision() > 0
	return ready || time.Since(e.started) > entryWarmUpTimeout
}

// newestAgents returns connections to the registered agents with the highest
// configuration revisions, in descending order.
func (e *entry) newestAgents() []grpc.ClientConnInterface {
	agents := e.registry.ListAgents()
	slices.SortStableFunc(agents, func(a, b membership.Agent) int { return cmp.Compare(b.ConfigRevision, a.ConfigRevision) })
	addresses := make([]string, 0, len(agents))
	for _, a := range agents {
		addresses = append(addresses, a.Address)
	}
	return e.peers.connect(addresses)
}

// drain makes the health check fail and then waits for the drain time of the
// settings, in which the load balancer stops sending calls. The entry still
// accepts calls during this time.
func (e *entry) drain(ctx context.Context) {
	e.draining.Store(true)
	timer := time.NewTimer(e.settings.Drain())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (e *entry) stopRouter(routerService *backgroundService) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := e.router.Stop(ctx); err != nil {
			return err
		}
		return routerService.Stop(ctx)
	}
}

// listTargets returns the targets of the registered agents that are not
// leaving.
func (e *entry) listTargets() []client.TargetStatus {
	list := []client.TargetStatus{}
	for _, a := range e.registry.ListAgents() {
		if a.Leaving {
			continue
		}
		for _, t := range a.Targets {
			list = append(list, client.TargetStatus{
				ID: t.ID, Worker: a.Worker, FailureDomain: a.FailureDomain, Team: t.Team, Kinds: t.Kinds, Slots: t.Slots,
			})
		}
	}
	return list
}

// workerRevisions returns the revision in force at each worker, by worker ID.
func (e *entry) workerRevisions() map[string]int64 {
	byWorker := map[string]int64{}
	for _, a := range e.registry.ListAgents() {
		byWorker[string(a.Worker)] = a.ConfigRevision
	}
	return byWorker
}
