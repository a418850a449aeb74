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

// target is an HTTP server that works on a fixed number of requests at once
// and lets the others wait, as a service does.
type target struct {
	server   *http.Server
	url      string
	slots    chan struct{}
	takes    atomic.Int64 // nanoseconds
	deferred atomic.Int64 // deferred requests that it works on
}

func startTarget(slots int, takes time.Duration) (*target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{url: "http://" + listener.Addr().String(), slots: make(chan struct{}, slots)}
	t.takes.Store(int64(takes))
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(listener) }()
	return t, nil
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if takes := time.Duration(t.takes.Load()); takes > 0 {
		select {
		case t.slots <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		if r.URL.Path == "/match" {
			t.deferred.Add(1)
			defer t.deferred.Add(-1)
		}
		time.Sleep(takes)
		<-t.slots
	}
	_, _ = io.WriteString(w, "done")
}

// agentServer serves an Executor alone; Assign belongs to another package.
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

// deployment is a number of targets with their agents, and entries.
type deployment struct {
	targets []*target
	routers []*request.Router
	relays  []*relay
	members *members
	cancel  context.CancelFunc
	work    sync.WaitGroup
	stops   []func()
}

// members is a fixed list of candidates.
type members struct{ list []membership.Candidate }

func (m *members) Candidates(structs.TeamID, string) []membership.Candidate { return m.list }

// noClaims refuses every key: no request of this program has one.
type noClaims struct{}

func (noClaims) Acquire(context.Context, string, request.Claim, *request.Claim) (request.Claim, bool, error) {
	return request.Claim{}, false, &structs.UnavailableError{Dependency: "table"}
}

func (noClaims) Find(context.Context, string) (request.Claim, error) {
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
func deploy(targets, entries, slots int, takes, deadline time.Duration, hedge bool) (*deployment, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{members: &members{}, cancel: cancel}
	for i := range targets {
		if err := d.addAgent(ctx, i, slots, takes); err != nil {
			d.stop()
			return nil, err
		}
	}
	c := config(deadline)
	for range entries {
		r, err := request.NewRouter(request.RouterOptions{
			FailureDomain: "d0", Members: d.members, Claims: noClaims{}, Hedge: hedge,
			Dial:   request.GRPCDialer(grpc.WithTransportCredentials(insecure.NewCredentials())),
			Config: func() *structs.Config { return c },
		})
		if err != nil {
			d.stop()
			return nil, err
		}
		d.routers = append(d.routers, r)
		d.work.Go(func() { _ = r.Run(ctx) })
	}
	return d, nil
}

// addAgent starts a target with its agent behind a relay.
func (d *deployment) addAgent(ctx context.Context, i, slots int, takes time.Duration) error {
	t, err := startTarget(slots, takes)
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
	d.work.Go(func() { _ = executor.Run(ctx) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := grpc.NewServer(request.AgentServerOptions()...)
	daisywallpb.RegisterAgentServer(server, agentServer{Executor: executor})
	go func() { _ = server.Serve(listener) }()
	d.stops = append(d.stops, server.Stop, func() { _ = t.server.Close() })
	d.members.list = append(d.members.list, membership.Candidate{
		Worker: structs.WorkerID(fmt.Sprintf("w%d", i)), FailureDomain: structs.FailureDomainID(fmt.Sprintf("d%d", i%4)),
		Address: listener.Addr().String(), Incarnation: incarnation, Target: announced, ClockRead: time.Now(),
	})
	return nil
}

func (d *deployment) stop() {
	d.cancel()
	d.work.Wait()
	for _, stop := range d.stops {
		stop()
	}
	for _, r := range d.relays {
		r.stop()
	}
}
