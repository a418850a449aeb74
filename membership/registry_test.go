package membership

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/api/daisywallpb"
)

func registration(incarnation string, sequence int64, targets ...string) *daisywallpb.RegisterRequest {
	request := &daisywallpb.RegisterRequest{
		Worker: "w1", FailureDomain: "d1", Address: "10.0.0.1:7000", AgentIncarnation: incarnation, Sequence: sequence,
	}
	for _, id := range targets {
		request.Targets = append(request.Targets, &daisywallpb.TargetInfo{
			Id: id, Team: "graz", Kinds: []string{"alert"}, Incarnation: "1", Slots: 8, Connections: 60,
		})
	}
	return request
}

func candidateNames(r *Registry) []string {
	var list []string
	for _, c := range r.Candidates("graz", "alert") {
		list = append(list, c.Incarnation+":"+string(c.Target.ID))
	}
	return list
}

func TestRegistrationsOutOfOrderAreIgnored(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(RegistryOptions{})
	send := func(q *daisywallpb.RegisterRequest) {
		_, err := r.Register(context.Background(), q)
		is.NoErr(err)
	}
	send(registration("a", 5, "t1", "t2"))
	send(registration("a", 4, "t1"))
	is.Equal(candidateNames(r), []string{"a:t1", "a:t2"}) // the older sequence is ignored
	send(registration("b", 1, "t3"))
	is.Equal(candidateNames(r), []string{"b:t3"}) // the new incarnation replaces the former one
	send(registration("a", 9, "t1"))
	is.Equal(candidateNames(r), []string{"b:t3"}) // the delayed message of the former incarnation is ignored
	leaving := registration("b", 2, "t3")
	leaving.Leaving = true
	send(leaving)
	is.Equal(len(candidateNames(r)), 0)
}

func TestUnknownAgentMustSendFullList(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(RegistryOptions{})
	short := registration("a", 1)
	short.Unchanged = true
	response, err := r.Register(context.Background(), short)
	is.NoErr(err)
	is.True(response.WantFull)
	is.Equal(r.AgentCount(), 0)
}

func TestRegistrationExpiresByEntryClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := NewRegistry(RegistryOptions{})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = r.Run(ctx) })
		response, err := r.Register(ctx, registration("a", 1, "t1"))
		is.NoErr(err)
		ttl := time.Duration(response.TtlMs) * time.Millisecond
		time.Sleep(ttl)
		is.Equal(len(candidateNames(r)), 1)
		time.Sleep(registerTimeout + 2*expirySweepInterval)
		is.Equal(len(candidateNames(r)), 0)
		cancel()
		running.Wait()
	})
}

// TestRegistrationTrafficStaysInBudget registers as many agents as an entry is designed
// for and adds up the bytes of one more registration of each.
func TestRegistrationTrafficStaysInBudget(t *testing.T) {
	is := is.New(t)
	const agents, targets, teams, limit = 4700, 6, 63, 11 << 10
	r := NewRegistry(RegistryOptions{Entry: "e1", Address: "10.0.0.1:7000", Entries: func() []string {
		return []string{"10.0.0.2:7000", "10.0.0.3:7000", "10.0.0.4:7000"}
	}})
	var interval time.Duration
	bytes := 0
	for round := range int64(2) {
		bytes = 0
		for i := range agents {
			q := registration("5b2f3a1e-8d57-4a3c-9f27-0a1b2c3d4e5f", round+1)
			q.Worker = fmt.Sprintf("worker-%04d", i)
			if q.Unchanged = round > 0; !q.Unchanged {
				for n := range targets {
					q.Targets = append(q.Targets, registration("", 0, fmt.Sprintf("target-%d", n)).Targets...)
					q.Targets[n].Team = fmt.Sprintf("team-%d", (i+n)%teams)
				}
			}
			response, err := r.Register(context.Background(), q)
			is.NoErr(err)
			interval = time.Duration(response.IntervalMs) * time.Millisecond
			bytes += proto.Size(q) + proto.Size(response) + messageOverheadBytes
		}
	}
	rate := float64(bytes) / interval.Seconds()
	t.Logf("%d agents: interval %v, %d bytes a message, %.0f bytes/s", agents, interval, bytes/agents, rate)
	is.True(rate < limit)
	is.Equal(r.AgentCount(), agents)
}

// TestRegistryHoldsTheLatestState delivers registrations of several
// incarnations late, repeated and out of order, and compares the registry with
// a model.
func TestRegistryHoldsTheLatestState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry(RegistryOptions{})
		var sent []*daisywallpb.RegisterRequest
		incarnation, sequence := 1, int64(0)
		newest := "" // newest incarnation that has registered
		latest := map[string]*daisywallpb.RegisterRequest{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"send", "restart", "redeliver"}).Draw(t, "step") {
			case "send":
				sequence++
				q := registration(fmt.Sprint(incarnation), sequence, fmt.Sprint("t", sequence))
				sent = append(sent, q)
				newest = q.AgentIncarnation
				latest[newest] = q
				_, _ = r.Register(context.Background(), q)
			case "restart":
				incarnation++
				sequence = 0
			case "redeliver":
				if len(sent) > 0 {
					_, _ = r.Register(context.Background(), rapid.SampledFrom(sent).Draw(t, "old"))
				}
			}
		}
		if err := checkCandidates(r, latest[newest]); err != nil {
			t.Fatal(err)
		}
	})
}

type mismatchError struct{ have, want string }

func (e *mismatchError) Error() string { return "registry holds " + e.have + ", want " + e.want }

// checkCandidates compares the registry with the latest registration.
func checkCandidates(r *Registry, latest *daisywallpb.RegisterRequest) error {
	var want []string
	if latest != nil {
		want = []string{latest.AgentIncarnation + ":" + latest.Targets[0].Id}
	}
	if have := candidateNames(r); fmt.Sprint(have) != fmt.Sprint(want) {
		return &mismatchError{fmt.Sprint(have), fmt.Sprint(want)}
	}
	return nil
}

func TestModelCheckDetectsStaleRegistry(t *testing.T) {
	r := NewRegistry(RegistryOptions{})
	_, _ = r.Register(context.Background(), registration("1", 1, "t1"))
	if checkCandidates(r, registration("1", 2, "t2")) == nil {
		t.Fatal("the check accepted a stale registry")
	}
}

func TestResponseCarriesNewerConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := NewRegistry(RegistryOptions{Address: "e1", Config: func() (int64, []byte) { return 7, []byte(`{"revision":7}`) }})
		response, err := r.Register(context.Background(), registration("a", 1, "t1"))
		is.NoErr(err)
		is.Equal(response.ConfigRevision, int64(7))
		is.Equal(string(response.Config), `{"revision":7}`)
		known := registration("a", 2, "t1")
		known.ConfigRevision = 7
		response, err = r.Register(context.Background(), known)
		is.NoErr(err)
		is.Equal(len(response.Config), 0)
	})
}
