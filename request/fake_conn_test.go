package request

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// fakeConn is a connection to a fakeAgent that injects the agent's faults.
type fakeConn struct {
	agent  *fakeAgent
	number int // number of the connection, counted from 1 for each agent
	closed chan struct{}
	once   sync.Once
}

func (a *fakeAgent) dial() (AgentConn, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := &fakeConn{agent: a, number: len(a.conns) + 1, closed: make(chan struct{})}
	a.conns = append(a.conns, c)
	return c, nil
}

// setConnFault sets the fault of the connection with the given number, or of
// all connections if the number is 0.
func (a *fakeAgent) setConnFault(number int, f fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults[number] = f
	if f != faultCut {
		return
	}
	for _, c := range a.conns {
		if number == 0 || c.number == number {
			_ = c.Close()
		}
	}
}

func (c *fakeConn) Close() error { c.once.Do(func() { close(c.closed) }); return nil }

// fault returns the current fault of the connection.
func (c *fakeConn) fault() fault {
	c.agent.mu.Lock()
	defer c.agent.mu.Unlock()
	if f, found := c.agent.faults[c.number]; found {
		return f
	}
	return c.agent.faults[0]
}

// waitForExecutor waits while the agent process is frozen and returns its
// executor, or nil if the process is dead.
func (c *fakeConn) waitForExecutor() *Executor {
	c.agent.mu.Lock()
	thawed := c.agent.thawed
	c.agent.mu.Unlock()
	<-thawed
	c.agent.mu.Lock()
	defer c.agent.mu.Unlock()
	if c.agent.dead {
		return nil
	}
	return c.agent.executor
}

func (c *fakeConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

func (c *fakeConn) Ready(context.Context) error {
	c.agent.mu.Lock()
	dead := c.agent.dead
	c.agent.mu.Unlock()
	if dead || c.isClosed() {
		return &structs.UnavailableError{Dependency: "agent"}
	}
	return nil
}

// connectionError reports the loss of a connection.
type connectionError struct{}

func (connectionError) Error() string { return "connection lost" }

const (
	lateDelay     = 700 * time.Millisecond
	oneWayLatency = 500 * time.Microsecond
)

// callAgent sends a message to the agent and returns its answer, subject to the
// faults of the connection. The agent continues if the caller stops waiting.
func callAgent[Q, A any](ctx context.Context, c *fakeConn, q Q, work func(*Executor, context.Context, Q) (A, error)) (A, error) {
	answers := make(chan A, 2)
	go deliver(ctx, c, q, work, answers)
	if c.fault() == faultDuplicate {
		go func() {
			time.Sleep(3 * time.Millisecond)
			deliver(ctx, c, q, work, answers)
		}()
	}
	var zero A
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-c.closed:
		return zero, connectionError{}
	}
}

// deliver delivers one copy of a message to the agent and the agent's answer to
// the caller.
func deliver[Q, A any](ctx context.Context, c *fakeConn, q Q, work func(*Executor, context.Context, Q) (A, error), answers chan<- A) {
	time.Sleep(oneWayLatency)
	if c.fault() == faultLateRequest {
		time.Sleep(lateDelay)
	}
	if c.fault() == faultSilent || c.isClosed() {
		return
	}
	executor := c.waitForExecutor()
	if executor == nil {
		_ = c.Close()
		return
	}
	a, err := work(executor, context.WithoutCancel(ctx), q)
	if err != nil {
		return
	}
	if c.fault() == faultLateAnswer {
		time.Sleep(lateDelay)
	}
	time.Sleep(oneWayLatency)
	if now := c.waitForExecutor(); now != executor {
		_ = c.Close()
		return
	}
	if f := c.fault(); f == faultSilent || f == faultDropAnswer || c.isClosed() {
		return
	}
	answers <- a
}

func (c *fakeConn) Execute(ctx context.Context, q *daisywallpb.ExecuteRequest, _ ...grpc.CallOption) (*daisywallpb.ExecuteResponse, error) {
	return callAgent(ctx, c, q, (*Executor).Execute)
}

func (c *fakeConn) Settle(ctx context.Context, q *daisywallpb.SettleRequest, _ ...grpc.CallOption) (*daisywallpb.SettleResponse, error) {
	return callAgent(ctx, c, q, (*Executor).Settle)
}

func (c *fakeConn) Acknowledge(ctx context.Context, q *daisywallpb.AcknowledgeRequest, _ ...grpc.CallOption) (*daisywallpb.AcknowledgeResponse, error) {
	return callAgent(ctx, c, q, (*Executor).Acknowledge)
}

func (c *fakeConn) Ping(ctx context.Context, q *daisywallpb.PingRequest, _ ...grpc.CallOption) (*daisywallpb.PingResponse, error) {
	return callAgent(ctx, c, q, (*Executor).Ping)
}

func (c *fakeConn) Claim(ctx context.Context, q *daisywallpb.ClaimRequest, _ ...grpc.CallOption) (*daisywallpb.ClaimResponse, error) {
	return callAgent(ctx, c, q, (*Executor).Claim)
}

func (c *fakeConn) Assign(context.Context, *daisywallpb.AssignRequest, ...grpc.CallOption) (*daisywallpb.AssignResponse, error) {
	return nil, connectionError{}
}
