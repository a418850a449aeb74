package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/fleet"
	"github.com/daisywall/daisywall/httplimit"
	"github.com/daisywall/daisywall/kernel"
	"github.com/daisywall/daisywall/platform"
	_ "github.com/daisywall/daisywall/reloadsignal" // a SIGHUP must not end a process that starts or stops
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
	"github.com/daisywall/daisywall/telemetry"
)

// Ports of the daemons on the users' platform, as offsets from the first port
// that the platform reserves for traffic between daemons.
const (
	fleetPortOffset   = 0
	metricsPortOffset = 1
)

// Delays and timeouts of a stop on the users' platform.
const (
	// balancerDelay covers two failed health checks of the load balancer, which
	// checks once per second. After two failures the load balancer opens no new
	// connections.
	balancerDelay = 2300 * time.Millisecond
	// callerShutdownTimeout bounds the wait for callers' requests in flight at
	// a stop. Requests with the usual deadline finish in this time. The sum of
	// balancerDelay, this timeout and the shutdown of the other servers is
	// shorter than the grace period.
	callerShutdownTimeout = 2700 * time.Millisecond
	localShutdownTimeout  = 300 * time.Millisecond // longest wait for calls on the host, which take milliseconds
)

// PlatformArguments is the command line of a daemon on the users' platform.
type PlatformArguments struct {
	Check bool `help:"Check the settings and exit: 0 when they are valid, 2 when not."`
}

// PlatformMain runs a daemon with the settings of the users' platform until
// SIGTERM or SIGINT, and returns its exit code. On SIGHUP the daemon validates
// the settings again but does not apply them. Changed settings take effect at
// its next start.
func PlatformMain(name string, args []string, run func(context.Context, platform.Settings) error) int {
	var arguments PlatformArguments
	parser, err := kong.New(&arguments, kong.Name(name), kong.Description("Runs with the settings that "+platform.SettingsPathVariable+" names."))
	if err != nil {
		return reportError(os.Stderr, name, err, exitFailure)
	}
	if _, err := parser.Parse(args); err != nil {
		return reportError(os.Stderr, name, err, exitInvalid)
	}
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsPathVariable))
	if err != nil {
		return reportError(os.Stderr, name, err, exitInvalid)
	}
	if arguments.Check {
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, settings); err != nil {
		return reportError(os.Stderr, name, err, exitFailure)
	}
	return exitOK
}

// StartedByPlatform reports whether the process was started by the users'
// platform.
func StartedByPlatform() bool { return os.Getenv(platform.SettingsPathVariable) != "" }

// platformBase holds the components that the agent and the entry on the users'
// platform have in common.
type platformBase struct {
	settings  platform.Settings
	telemetry *telemetry.Telemetry
	store     *platform.StoreClient
	kernel    *kernel.Kernel
}

func newPlatformBase(name string, settings platform.Settings) (*platformBase, error) {
	t, err := telemetry.New(name, "info")
	if err != nil {
		return nil, err
	}
	t.Log = t.Log.With(zap.String("host", settings.Host))
	settings.HostLimits.LimitHeap()
	return &platformBase{settings: settings, telemetry: t, store: platform.NewStoreClient(settings.StoreAddress), kernel: kernel.New(settings.Grace)}, nil
}

func (b *platformBase) address(offset int) string {
	return net.JoinHostPort(b.settings.IP, strconv.Itoa(b.settings.PeerPorts.First+offset))
}

// limits returns the limits of the clients of a server, which may use a share of
// the host.
func (b *platformBase) limits(server string, share func(httplimit.Host) httplimit.Limits) httplimit.Options {
	return httplimit.Options{Server: server, Limits: share(b.settings.HostLimits), Meter: b.telemetry.Meters.Meter("daisywall/http")}
}

func (b *platformBase) register(services []namedService) error {
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", b.telemetry.Metrics)
	services = append(services,
		namedService{"metrics", &httpServer{address: b.address(metricsPortOffset), handler: metricsMux, shutdownTimeout: localShutdownTimeout, limits: b.limits("metrics", httplimit.Host.Side)}, nil},
		namedService{"reload", newBackgroundService(b.watchReload), nil})
	for _, s := range services {
		if err := b.kernel.Register(s.name, s.service, s.needs...); err != nil {
			return fmt.Errorf("register %s: %w", s.name, err)
		}
	}
	return nil
}

// namedService is a service with its name and the names of the services it
// depends on.
type namedService struct {
	name    string
	service kernel.Service
	needs   []string
}

// watchReload validates the settings at each SIGHUP and logs whether they have
// changed.
func (b *platformBase) watchReload(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
			settings, err := platform.ReadSettings(os.Getenv(platform.SettingsPathVariable))
			if err != nil {
				b.telemetry.Log.Error("reload rejected, current settings kept", zap.Error(err))
				continue
			}
			b.telemetry.Log.Info("reload", zap.Bool("changed", settings != b.settings))
		case <-ctx.Done():
			return nil
		}
	}
}

func (b *platformBase) run(ctx context.Context) error {
	log := b.telemetry.Log
	log.Info("start", zap.String("class", b.settings.HostClass), zap.String("domain", string(b.settings.FailureDomain)), zap.Int("pid", os.Getpid()))
	err := b.kernel.Run(ctx)
	log.Info("stop", zap.Error(err))
	return errors.Join(err, b.telemetry.Close(context.WithoutCancel(ctx)))
}

// RunPlatformAgent runs the agent of a host that has a runner.
func RunPlatformAgent(ctx context.Context, settings platform.Settings) error {
	b, err := newPlatformBase("agent", settings)
	if err != nil {
		return err
	}
	log := b.telemetry.Log
	node, err := fleet.NewNode(fleet.Options{
		Worker: structs.WorkerID(settings.Host), FailureDomain: settings.FailureDomain, Address: b.address(fleetPortOffset), Store: b.store,
		Runner:               func(info substrate.RunnerInfo) substrate.Runner { return platform.NewRunnerClient(info) },
		RunnerIdentity:       readRunnerIdentity,
		RunnerReportInterval: settings.ReportInterval,
		Config: func() (fleet.ConfigSource, func()) {
			operatorCtx, stop := context.WithCancel(context.Background())
			operator := platform.NewOperatorConfig(b.store, log)
			go func() { _ = operator.Run(operatorCtx) }()
			return operator, stop
		},
		Permits:     permitSource(settings),
		RowBytes:    settings.RowBytes,
		JobBytes:    settings.HostLimits.StateBytes(),
		UseRunTimes: settings.Scheduling.UseRunTimes, QueueShares: settings.Scheduling.QueueShares, RefuseHopeless: settings.Scheduling.RefuseHopeless,
		PlaceBySpeed: settings.Scheduling.PlaceBySpeed,
		Timing:       fleet.Timing{MaxLease: settings.MaxLease, ViolationLimit: settings.ViolationLimit, PaceDelay: settings.PaceDelay},
		Log:          log, Meters: b.telemetry.Meters,
	})
	if err != nil {
		return err
	}
	stopNode := funcService{stop: func(ctx context.Context) error {
		node.Leave(ctx)
		return nil
	}}
	peers := &grpcServer{address: b.address(fleetPortOffset), log: log, register: func(s *grpc.Server) { fleetpb.RegisterFleetServer(s, node) }}
	err = b.register([]namedService{
		{"peers", immediateStopServer{peers}, nil},
		{"reports", &httpServer{address: settings.ReportAddress, handler: platform.NewReportHandler(node, log), shutdownTimeout: localShutdownTimeout, limits: b.limits("reports", httplimit.Host.Local)}, nil},
		{"node", newBackgroundService(node.Run), []string{"peers", "reports"}},
		{"handover", stopNode, []string{"node"}},
	})
	if err != nil {
		return err
	}
	return b.run(ctx)
}

// readRunnerIdentity returns what the settings file says of the host's runner by now.
func readRunnerIdentity() (substrate.RunnerIdentity, error) {
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsPathVariable))
	return settings.Runner, err
}

// permitSource returns the client of the platform's permit service, or nil if
// the settings name none.
func permitSource(settings platform.Settings) substrate.PermitSource {
	if settings.PermitAddress == "" {
		return nil
	}
	return platform.NewPermitClient(settings.PermitAddress)
}

// immediateStopServer is a gRPC server that closes its streams at once when it
// is stopped, because they never end by themselves.
type immediateStopServer struct{ *grpcServer }

// Stop implements kernel.Service.
func (s immediateStopServer) Stop(context.Context) error {
	s.server.Stop()
	return nil
}

// RunPlatformEntry runs the entry that serves callers.
func RunPlatformEntry(ctx context.Context, settings platform.Settings) error {
	b, err := newPlatformBase("entry", settings)
	if err != nil {
		return err
	}
	log := b.telemetry.Log
	operator := platform.NewOperatorConfig(b.store, log)
	jobs := fleet.NewEntry(b.store, nil, log)
	if err := jobs.Instrument(b.telemetry.Meters); err != nil {
		return err
	}
	jobHandler := platform.NewJobHandler(jobs, operator, settings.OrderSlack, log)
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET /v1/ready", jobHandler.Ready)
	drain := func(ctx context.Context) {
		jobHandler.Drain()
		select {
		case <-time.After(balancerDelay):
		case <-ctx.Done():
		}
	}
	callerLimits := b.limits("callers", httplimit.Host.Main)
	callerLimits.Requests = operator.RequestLimits
	err = b.register([]namedService{
		{"jobs", funcService{stop: func(context.Context) error { return jobs.Close() }}, nil},
		{"operator", newBackgroundService(operator.Run), nil},
		{"ready", &httpServer{address: settings.ReadyAddress, handler: readyMux, shutdownTimeout: localShutdownTimeout, limits: b.limits("ready", httplimit.Host.Side)}, []string{"operator"}},
		{"front", &httpServer{
			address: settings.CallerAddress, handler: jobHandler, beforeShutdown: drain, shutdownTimeout: callerShutdownTimeout, limits: callerLimits,
		}, []string{"operator", "jobs", "ready"}},
	})
	if err != nil {
		return err
	}
	return b.run(ctx)
}
