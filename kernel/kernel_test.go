package kernel

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

type recordingService struct {
	name     string
	events   *[]string
	startErr error
}

func (r *recordingService) Start(context.Context, *ServiceContext) error {
	*r.events = append(*r.events, "start "+r.name)
	return r.startErr
}

func (r *recordingService) Stop(context.Context) error {
	*r.events = append(*r.events, "stop "+r.name)
	return nil
}

func TestServicesStartInDependencyOrderAndStopInReverse(t *testing.T) {
	is := is.New(t)
	var events []string
	k := New(time.Second)
	is.NoErr(k.Register("http", &recordingService{name: "http", events: &events}, "router"))
	is.NoErr(k.Register("router", &recordingService{name: "router", events: &events}, "table"))
	is.NoErr(k.Register("table", &recordingService{name: "table", events: &events}))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(k.Run(ctx))
	is.Equal(events, []string{"start table", "start router", "start http", "stop http", "stop router", "stop table"})
}

func TestFailedStartStopsTheStartedServices(t *testing.T) {
	is := is.New(t)
	var events []string
	k := New(time.Second)
	failure := &RegistrationError{Service: "http", Rule: "planted"}
	is.NoErr(k.Register("table", &recordingService{name: "table", events: &events}))
	is.NoErr(k.Register("http", &recordingService{name: "http", events: &events, startErr: failure}, "table"))
	is.True(k.Run(context.Background()) != nil)
	is.Equal(events, []string{"start table", "start http", "stop table"})
}

func TestDependencyCycleIsRejected(t *testing.T) {
	is := is.New(t)
	var events []string
	k := New(time.Second)
	is.NoErr(k.Register("a", &recordingService{events: &events}, "b"))
	is.NoErr(k.Register("b", &recordingService{events: &events}, "a"))
	is.True(k.Run(context.Background()) != nil)
	is.Equal(len(events), 0)
}
