package daemon

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/daisywall/daisywall/api/configpb"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/cell"
	"github.com/daisywall/daisywall/config"
	"github.com/daisywall/daisywall/httplimit"
	"github.com/daisywall/daisywall/kernel"
	"github.com/daisywall/daisywall/membership"
	"github.com/daisywall/daisywall/placement"
	"github.com/daisywall/daisywall/planner"
	"github.com/daisywall/daisywall/request"
	"github.com/daisywall/daisywall/settings"
	"github.com/daisywall/daisywall/structs"
	platformclient "github.com/daisywall/daisywall/substrate/rpc/client"
	"github.com/daisywall/daisywall/telemetry"
	"github.com/daisywall/daisywall/worker"
)

// Timeouts and intervals of an agent.
const (
	agentStopTimeout   = 20 * time.Second // stops each service within this time, in addition to the evacuation time
	configPollInterval = time.Second      // interval at which the leader of a cell polls the configuration
	// maxOutageRenewal bounds how long a leader renews leases while the table
	// is unavailable. The configuration sets a shorter time for each service
	// and batch class.
	maxOutageRenewal = 2 * time.Hour
	// leaveTimeout bounds the wait for entries that do not respond to the
	// agent's deregistration. The agent rejects the requests that these entries
	// still send and reports them as not run.
	leaveTimeout = 3 * time.Second
	healthyBody  = "ok\n"
)

// RunAgent runs an agent until ctx ends, and then stops it gracefully.
func RunAgent(ctx context.Context, s settings.Agent) error {
	a, err := newAgent(s)
	if err != nil {
		return err
	}
	return a.kernel.Run(ctx)
}

// agent holds the components of one agent. The kernel starts and stops their
// goroutines.
type agent struct {
	settings  settings.Agent
	telemetry *telemetry.Telemetry
	kernel    *kernel.Kernel
	platform  *platformclient.Conn
	peers     *peerPool
	holder    *config.Holder
	node      *cell.Node
	planner   *planner.Planner
	burn      *burnReporter
	tasks     *worker.Agent
	targets   *membership.LocalTargets
	requests  *request.Executor
	announcer *membership.Announcer
	finder    *leaderFinder
}

func newAgent(s settings.Agent) (*agent, error) {
	t, err := telemetry.New("agent", s.LogLevel)
	if err != nil {
		return nil, err
	}
	s.Limits.Host().LimitHeap()
	a := &agent{
		settings:  s,
		telemetry: t,
		kernel:    kernel.New(agentStopTimeout + s.Evacuate()),
		peers:     newPeerPool(),
		holder:    config.NewHolder(),
		finder:    &leaderFinder{ownAddress: s.PeerAddress},
	}
	for _, build := range []func() error{a.buildPlatform, a.buildCell, a.buildTasks, a.buildRequests, a.register} {
		if err := build(); err != nil {
			return nil, err
		}
	}
	return a, nil
}

func (a *agent) workerInfo() structs.Worker {
	return structs.Worker{
		ID:            a.settings.Worker,
		FailureDomain: a.settings.FailureDomain,
		Rack:          a.settings.Rack,
		Cell:          a.settings.Cell,
		Capacity:      a.settings.Capacity,
		Address:       a.settings.AdvertiseAddress,
	}
}

func (a *agent) buildPlatform() error {
	conn, err := platformclient.Dial(a.settings.Platform.Address, platformclient.Options{
		Timeout: a.settings.Platform.Timeout(),
		Meters:  a.telemetry.Meters,
	})
	a.platform = conn
	return err
}

func (a *agent) buildCell() error {
	leading := func() bool { _, ok := a.node.Leading(); return ok }
	a.burn = newBurnReporter(a.platform.Table(), a.settings.Platform.Timeout(), string(a.settings.Worker), a.holder.Current, leading)
	a.planner = planner.New(a.holder.Current, placement.Options{})
	node, err := cell.New(cell.Options{
		Cell:     a.settings.Cell,
		Domain:   a.settings.FailureDomain,
		Worker:   a.settings.Worker,
		Address:  a.settings.AdvertiseAddress,
		Table:    a.platform.Table(),
		Objects:  a.platform.Objects(),
		Assign:   a.peers.assign,
		Observer: a.burn,
		Timing:   cell.Timing{RideOut: cell.KindDurations{Batch: maxOutageRenewal, Service: maxOutageRenewal}},
		Quotas:   a.quotas,
		Planner:  a.planner,
		Config:   a.holder.UpdateSince,
		Log:      a.telemetry.Log.Named("cell"),
		Meters:   a.telemetry.Meters,
	})
	a.node = node
	return err
}

// quotas returns the quota of each team in the current configuration.
func (a *agent) quotas() map[structs.TeamID]structs.Resources {
	teams := a.holder.Current().Teams
	byTeam := make(map[structs.TeamID]structs.Resources, len(teams))
	for _, t := range teams {
		byTeam[t.ID] = t.Quota
	}
	return byTeam
}

// applyConfigUpdate applies a configuration update that arrived with a
// heartbeat response, if it is newer than the current configuration.
func (a *agent) applyConfigUpdate(_ int64, update []byte) {
	if len(update) == 0 {
		return
	}
	if _, err := a.holder.ApplyUpdateIfNewer(update); err != nil {
		a.telemetry.Log.Warn("configuration update rejected", zap.Error(err))
	}
}

func (a *agent) buildTasks() error {
	tasks, err := worker.New(worker.Options{
		Worker:         a.workerInfo(),
		Runtime:        a.platform.Runtime(a.settings.Worker),
		Finder:         a.finder,
		StartGrant:     cell.DefaultStartGrant,
		Heartbeat:      a.peers.heartbeat,
		ConfigRevision: a.holder.Revision,
		ApplyConfig:    a.applyConfigUpdate,
		Log:            a.telemetry.Log.Named("worker"),
		Meters:         a.telemetry.Meters,
	})
	a.tasks = tasks
	return err
}

func (a *agent) buildRequests() error {
	incarnation := uuid.NewString()
	a.targets = membership.NewLocalTargets(membership.LocalOptions{
		Log:   a.telemetry.Log.Named("targets"),
		Meter: a.telemetry.Meters.Meter("targets"),
	})
	executor, err := request.NewExecutor(request.ExecutorOptions{
		Targets:     a.targets,
		Incarnation: incarnation,
		Log:         a.telemetry.Log.Named("requests"),
		Meter:       a.telemetry.Meters.Meter("requests"),
	})
	if err != nil {
		return err
	}
	a.requests = executor
	a.announcer, err = membership.NewAnnouncer(membership.AnnouncerOptions{
		Worker:         a.workerInfo(),
		Incarnation:    incarnation,
		Targets:        a.targets.Targets,
		Changed:        a.targets.Changed,
		Table:          a.platform.Table(),
		Seeds:          a.settings.Entries,
		Dial:           membership.GRPCDialer(peerDialOptions()...),
		Clock:          executor.Uptime,
		ConfigRevision: a.holder.Revision,
		Leader:         a.tasks.Leader,
		OnLeaderHint:   a.finder.setHint,
		Log:            a.telemetry.Log.Named("announcer"),
		Meter:          a.telemetry.Meters.Meter("announcer"),
	})
	return err
}

// register adds the services to the kernel. They stop in reverse order: the
// agent deregisters from the entries, finishes its requests, moves its tasks to
// other hosts and releases its leadership.
func (a *agent) register() error {
	server := &grpcServer{address: a.settings.PeerAddress, log: a.telemetry.Log, options: request.AgentServerOptions(), register: func(g *grpc.Server) {
		daisywallpb.RegisterAgentServer(g, &agentServer{requests: a.requests, tasks: a.tasks})
		daisywallpb.RegisterCellServer(g, a.node)
		configpb.RegisterConfigServer(g, config.NewServer(a.holder))
	}}
	modelStore := planner.NewModelStore(a.planner, a.platform.Objects(), a.settings.Cell, a.node.Leading, a.telemetry.Log.Named("planner"))
	announceService := newBackgroundService(a.announcer.Run)
	taskService := newBackgroundService(a.tasks.Run)
	localLimits := httplimit.Options{Server: "local", Limits: a.settings.Limits.Host().Local(), Meter: a.telemetry.Meters.Meter("http")}
	services := []struct {
		name    string
		service kernel.Service
		needs   []string
	}{
		{"telemetry", funcService{stop: a.telemetry.Close}, nil},
		{"platform", funcService{stop: func(context.Context) error { return a.platform.Close() }}, []string{"telemetry"}},
		{"peers", funcService{stop: func(context.Context) error { a.peers.close(); return nil }}, []string{"telemetry"}},
		{"burn", newBackgroundService(a.burn.flusher.Run), []string{"platform"}},
		{"away", newBackgroundService(a.burn.pollOutDomains), []string{"platform"}},
		{"cell", newBackgroundService(a.node.Run), []string{"platform", "peers", "burn"}},
		{"handover", newBackgroundService(modelStore.Run), []string{"platform", "cell"}},
		{"config", newBackgroundService(a.watchConfig), []string{"platform", "cell"}},
		{"peer-server", server, []string{"cell"}},
		{"tasks", funcService{start: taskService.Start, stop: a.stopTasks(taskService)}, []string{"peer-server", "platform"}},
		{"requests", newBackgroundService(a.requests.Run), []string{"peer-server"}},
		{"targets", newBackgroundService(a.targets.Run), []string{"requests"}},
		{"local", &httpServer{address: a.settings.LocalAddress, handler: a.localHandler(), limits: localLimits}, []string{"targets"}},
		{"announcer", funcService{start: announceService.Start, stop: a.stopAnnouncing(announceService)}, []string{"local", "requests", "config"}},
	}
	for _, s := range services {
		if err := a.kernel.Register(s.name, s.service, s.needs...); err != nil {
			return err
		}
	}
	return nil
}

// stopAnnouncing returns a stop function that deregisters the agent from the
// entries and then finishes the requests in flight.
func (a *agent) stopAnnouncing(announceService *backgroundService) func(context.Context) error {
	return func(ctx context.Context) error {
		leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		a.announcer.Leave(leaveCtx)
		if err := a.requests.Stop(ctx); err != nil {
			return err
		}
		return announceService.Stop(ctx)
	}
}

// stopTasks returns a stop function that moves the tasks to other hosts for at
// most the evacuation time of the settings.
func (a *agent) stopTasks(taskService *backgroundService) func(context.Context) error {
	return func(ctx context.Context) error {
		if a.settings.Evacuate() > 0 {
			leaveCtx, cancel := context.WithTimeout(ctx, a.settings.Evacuate())
			defer cancel()
			if err := a.tasks.Drain(leaveCtx); err != nil {
				// The next agent on this host adopts the remaining tasks.
				a.telemetry.Log.Warn("evacuation incomplete, tasks remain on this host", zap.Error(err))
			}
		}
		return taskService.Stop(ctx)
	}
}

// watchConfig reads the configuration from the table while this agent leads its
// cell. The other agents receive it in heartbeat responses.
func (a *agent) watchConfig(ctx context.Context) error {
	otherPeers := config.NewRemotePeers(func() []grpc.ClientConnInterface { return a.peers.connect(a.announcer.Entries()) })
	watcher := config.NewWatcher(a.platform.Table(), a.holder, otherPeers, a.telemetry.Log.Named("config"), config.WatcherOptions{})
	ticker := time.NewTicker(configPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if _, leading := a.node.Leading(); leading {
			watcher.Poll(ctx)
		}
	}
}

// localHandler serves the target API, the metrics and the health check on the
// host's local address.
func (a *agent) localHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/targets/", a.targets)
	mux.Handle("GET /metrics", a.telemetry.Metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, healthyBody)
	})
	return mux
}
