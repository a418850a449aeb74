package request

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// fakeConn is one connection to an agent.
type fakeConn struct {
	agent  *fakeAgent
	number int
	closed chan struct{}
	once   sync.Once
}

func (a *fakeAgent) dial() (AgentConn, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := &fakeConn{agent: a, number: len(a.dialled) + 1, closed: make(chan struct{})}
	a.dialled = append(a.dialled, c)
	return c, nil
}

// spoil gives a connection, or all for 0, a fault from now on.
func (a *fakeAgent) spoil(number int, f fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults[number] = f
	if f != faultCut {
		return
	}
	for _, c := range a.dialled {
		if number == 0 || c.number == number {
			_ = c.Close()
		}
	}
}

func (c *fakeConn) Close() error { c.once.Do(func() { close(c.closed) }); return nil }

// fault returns the connection's fault.
func (c *fakeConn) fault() fault {
	c.agent.mu.Lock()
	defer c.agent.mu.Unlock()
	if f, found := c.agent.faults[c.number]; found {
		return f
	}
	return c.agent.faults[0]
}

// process returns the running agent process, nil when it is dead, and waits
// while it is frozen.
func (c *fakeConn) process() *Executor {
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

// connectionError is the loss of a connection.
type connectionError struct{}

func (connectionError) Error() string { return "connection lost" }

const (
	lateBy  = 700 * time.Millisecond
	linkLag = 500 * time.Microsecond
)

// carry sends a message and its answer with the faults of the connection. The
// agent goes on when the caller stops waiting.
func carry[Q, A any](ctx context.Context, c *fakeConn, q Q, work func(*Executor, context.Context, Q) (A, error)) (A, error) {
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

// deliver carries one copy of a message to the agent and its answer back.
func deliver[Q, A any](ctx context.Context, c *fakeConn, q Q, work func(*Executor, context.Context, Q) (A, error), answers chan<- A) {
	time.Sleep(linkLag)
	if c.fault() == faultLateRequest {
		time.Sleep(lateBy)
	}
	if c.fault() == faultSilent || c.isClosed() {
		return
	}
	process := c.process()
	if process == nil {
		_ = c.Close()
		return
	}
	a, err := work(process, context.WithoutCancel(ctx), q)
	if err != nil {
		return
	}
	if c.fault() == faultLateAnswer {
		time.Sleep(lateBy)
	}
	time.Sleep(linkLag)
	if now := c.process(); now != process {
		_ = c.Close()
		return
	}
	if f := c.fault(); f == faultSilent || f == faultDropAnswer || c.isClosed() {
		return
	}
	answers <- a
}

func (c *fakeConn) Execute(ctx context.Context, q *daisywallpb.ExecuteRequest, _ ...grpc.CallOption) (*daisywallpb.ExecuteResponse, error) {
	return carry(ctx, c, q, (*Executor).Execute)
}

func (c *fakeConn) Settle(ctx context.Context, q *daisywallpb.SettleRequest, _ ...grpc.CallOption) (*daisywallpb.SettleResponse, error) {
	return carry(ctx, c, q, (*Executor).Settle)
}

func (c *fakeConn) Acknowledge(ctx context.Context, q *daisywallpb.AcknowledgeRequest, _ ...grpc.CallOption) (*daisywallpb.AcknowledgeResponse, error) {
	return carry(ctx, c, q, (*Executor).Acknowledge)
}

func (c *fakeConn) Ping(ctx context.Context, q *daisywallpb.PingRequest, _ ...grpc.CallOption) (*daisywallpb.PingResponse, error) {
	return carry(ctx, c, q, (*Executor).Ping)
}

func (c *fakeConn) Claim(ctx context.Context, q *daisywallpb.ClaimRequest, _ ...grpc.CallOption) (*daisywallpb.ClaimResponse, error) {
	return carry(ctx, c, q, (*Executor).Claim)
}

func (c *fakeConn) Assign(context.Context, *daisywallpb.AssignRequest, ...grpc.CallOption) (*daisywallpb.AssignResponse, error) {
	return nil, connectionError{}
}
