package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/membership"
	"github.com/daisywall/daisywall/request"
	"github.com/daisywall/daisywall/structs"
)

const (
	team        = "graz"
	connections = 64
)

// target is an HTTP server that executes at most a fixed number of requests at
// once and queues the others.
type target struct {
	server          *http.Server
	url             string
	slots           chan struct{}
	serviceTimeNS   atomic.Int64 // nanoseconds per request
	runningDeferred atomic.Int64 // number of deferred requests in execution
}

func startTarget(slots int, serviceTime time.Duration) (*target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{url: "http://" + listener.Addr().String(), slots: make(chan struct{}, slots)}
	t.serviceTimeNS.Store(int64(serviceTime))
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(listener) }()
	return t, nil
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if serviceTime := time.Duration(t.serviceTimeNS.Load()); serviceTime > 0 {
		select {
		case t.slots <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		if r.URL.Path == "/match" {
			t.runningDeferred.Add(1)
			defer t.runningDeferred.Add(-1)
		}
		time.Sleep(serviceTime)
		<-t.slots
	}
	_, _ = io.WriteString(w, "done")
}

// agentServer serves the request methods of an Executor. Assign is not
// implemented.
type agentServer struct {
	daisywallpb.UnimplementedAgentServer
	*request.Executor
}

func (s agentServer) Execute(ctx context.Context, q *daisywallpb.ExecuteRequest) (*daisywallpb.ExecuteResponse, error) {
	return s.Executor.Execute(ctx, q)
}

func (s agentServer) Settle(ctx context.Context, q *daisywallpb.SettleRequest) (*daisywallpb.SettleResponse, error) {
	return s.Executor.Settle(ctx, q)
}

func (s agentServer) Acknowledge(ctx context.Context, q *daisywallpb.AcknowledgeRequest) (*daisywallpb.AcknowledgeResponse, error) {
	return s.Executor.Acknowledge(ctx, q)
}

func (s agentServer) Ping(ctx context.Context, q *daisywallpb.PingRequest) (*daisywallpb.PingResponse, error) {
	return s.Executor.Ping(ctx, q)
}

func (s agentServer) Claim(ctx context.Context, q *daisywallpb.ClaimRequest) (*daisywallpb.ClaimResponse, error) {
	return s.Executor.Claim(ctx, q)
}

// deployment is a set of targets with their agents, and the entries that route
// requests to them.
type deployment struct {
	targets    []*target
	routers    []*request.Router
	relays     []*relay
	members    *fixedMembers
	cancel     context.CancelFunc
	background sync.WaitGroup
	stopFuncs  []func()
}

// fixedMembers returns a fixed list of candidate targets for every request.
type fixedMembers struct{ list []membership.Candidate }

func (m *fixedMembers) Candidates(structs.TeamID, string) []membership.Candidate { return m.list }

// unavailableClaims fails every claim. The requests of this program have no
// idempotency key.
type unavailableClaims struct{}

func (unavailableClaims) Acquire(context.Context, string, request.Claim, *request.Claim) (request.Claim, bool, error) {
	return request.Claim{}, false, &structs.UnavailableError{Dependency: "table"}
}

func (unavailableClaims) Find(context.Context, string) (request.Claim, error) {
	return request.Claim{}, &structs.UnavailableError{Dependency: "table"}
}

func config(deadline time.Duration) *structs.Config {
	ms := deadline.Milliseconds()
	return &structs.Config{Teams: []structs.TeamConfig{{ID: team, Requests: []structs.RequestKind{
		{Name: "alert", Urgency: structs.Urgent, DeadlineMS: ms},
		{Name: "lookup", Urgency: structs.Urgent, Idempotent: true, DeadlineMS: ms},
		{Name: "match", Urgency: structs.Deferred, Idempotent: true, DeadlineMS: ms},
	}}}}
}

// deploy starts targets, agents and entries.
func deploy(targets, entries, slots int, serviceTime, deadline time.Duration, hedge bool) (*deployment, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{members: &fixedMembers{}, cancel: cancel}
	for i := range targets {
		if err := d.addAgent(ctx, i, slots, serviceTime); err != nil {
			d.stop()
			return nil, err
		}
	}
	c := config(deadline)
	for range entries {
		r, err := request.NewRouter(request.RouterOptions{
			FailureDomain: "d0", Candidates: d.members, Claims: unavailableClaims{}, HedgingEnabled: hedge,
			Dial:   request.GRPCDialer(grpc.WithTransportCredentials(insecure.NewCredentials())),
			Config: func() *structs.Config { return c },
		})
		if err != nil {
			d.stop()
			return nil, err
		}
		d.routers = append(d.routers, r)
		d.background.Go(func() { _ = r.Run(ctx) })
	}
	return d, nil
}

// addAgent starts a target and its agent.
func (d *deployment) addAgent(ctx context.Context, i, slots int, serviceTime time.Duration) error {
	t, err := startTarget(slots, serviceTime)
	if err != nil {
		return err
	}
	d.targets = append(d.targets, t)
	locals := membership.NewLocalTargets(membership.LocalOptions{TTL: time.Hour})
	announced := structs.Target{
		ID: structs.TargetID(fmt.Sprintf("t%d", i)), Team: team, Kinds: []string{"alert", "lookup", "match"},
		URL: t.url, Incarnation: "1", Slots: slots, Connections: connections,
	}
	if err := locals.Announce(announced); err != nil {
		return err
	}
	incarnation := fmt.Sprintf("a%d", i)
	executor, err := request.NewExecutor(request.ExecutorOptions{Targets: locals, Incarnation: incarnation})
	if err != nil {
		return err
	}
	d.background.Go(func() { _ = executor.Run(ctx) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := grpc.NewServer(request.AgentServerOptions()...)
	daisywallpb.RegisterAgentServer(server, agentServer{Executor: executor})
	go func() { _ = server.Serve(listener) }()
	d.stopFuncs = append(d.stopFuncs, server.Stop, func() { _ = t.server.Close() })
	d.members.list = append(d.members.list, membership.Candidate{
		Worker: structs.WorkerID(fmt.Sprintf("w%d", i)), FailureDomain: structs.FailureDomainID(fmt.Sprintf("d%d", i%4)),
		Address: listener.Addr().String(), Incarnation: incarnation, Target: announced, ClockReadAt: time.Now(),
	})
	return nil
}

func (d *deployment) stop() {
	d.cancel()
	d.background.Wait()
	for _, stop := range d.stopFuncs {
		stop()
	}
	for _, r := range d.relays {
		r.stop()
	}
}
