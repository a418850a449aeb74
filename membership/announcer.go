package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

const (
	// registerTimeout bounds one registration.
	registerTimeout = 2 * time.Second
	// registerRetry is the first wait after a failed registration.
	registerRetry = 100 * time.Millisecond
	// registerRetryMax bounds the wait between failed registrations.
	registerRetryMax = 5 * time.Second
	// entriesPoll is the time between readings of the entry rows.
	entriesPoll = 30 * time.Second
	// entriesPollEmpty is the time between readings while no entry is known.
	entriesPollEmpty = time.Second
	// entriesLimit bounds the entries that an agent registers with.
	entriesLimit = 256
	// entryForget is the time after which an entry that cannot be reached and
	// that no source names any more is dropped.
	entryForget = time.Minute
)

// EntryConn is a connection to one entry.
type EntryConn interface {
	daisywallpb.EntryClient
	// WaitLost returns when the connection was lost after it had been up, or
	// when ctx ends.
	WaitLost(ctx context.Context)
	Close() error
}

// AnnouncerOptions configures an Announcer.
type AnnouncerOptions struct {
	Worker      structs.Worker
	Incarnation string // of the agent process
	Targets     func() []structs.Target
	Changed     func() <-chan struct{} // closed at the next change of Targets
	Table       substrate.Table        // may be nil: then only Seeds and answers name entries
	Seeds       []string               // peer addresses of entries from the settings
	Dial        func(address string) (EntryConn, error)
	// Clock reads the agent's monotonic clock; see request.Executor.Clock.
	Clock func() time.Duration
	// ConfigRevision and ApplyConfig carry the configuration; both may be nil.
	ConfigRevision func() int64
	ApplyConfig    func(revision int64, document []byte)
	// Leader returns the leader that the agent follows, epoch 0 for none, and
	// LeaderHint takes the address of a leader that others follow; both may be
	// nil.
	Leader     func() (epoch int64, address string)
	LeaderHint func(address string)
	Log        *zap.Logger
	Meter      metric.Meter
}

// Announcer registers an agent and its targets with every entry that it
// learns of: from the table, from the settings and from the answers of other
// entries.
type Announcer struct {
	options  AnnouncerOptions
	metrics  announcerMetrics
	sequence atomic.Int64
	leaving  atomic.Bool

	mu        sync.Mutex
	entries   map[string]*entryLink
	fromRow   map[string]bool
	withdrawn chan struct{} // closed by Leave
	wake      chan struct{} // signals that entries changed
}

// entryLink is the state of the registration with one entry.
type entryLink struct {
	address   string
	names     []string  // entries that this one named in its last answer
	fresh     time.Time // until when names count
	acked     time.Time
	cancel    context.CancelFunc
	leftAcked bool
}

// NewAnnouncer checks the options and returns an Announcer. It returns
// *structs.InvalidError.
func NewAnnouncer(options AnnouncerOptions) (*Announcer, error) {
	var faults []structs.Fault
	if options.Worker.ID == "" || options.Worker.Address == "" {
		faults = append(faults, structs.Fault{Path: "/worker", Rule: "must have an ID and an address"})
	}
	if options.Incarnation == "" {
		faults = append(faults, structs.Fault{Path: "/incarnation", Rule: "must be set"})
	}
	if options.Targets == nil || options.Changed == nil || options.Dial == nil || options.Clock == nil {
		faults = append(faults, structs.Fault{Path: "/", Rule: "needs Targets, Changed, Dial and Clock"})
	}
	if len(faults) > 0 {
		return nil, &structs.InvalidError{Subject: "announcer options", Faults: faults}
	}
	if options.ConfigRevision == nil {
		options.ConfigRevision = func() int64 { return 0 }
	}
	if options.ApplyConfig == nil {
		options.ApplyConfig = func(int64, []byte) {}
	}
	if options.Leader == nil {
		options.Leader = func() (int64, string) { return 0, "" }
	}
	if options.LeaderHint == nil {
		options.LeaderHint = func(string) {}
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	return &Announcer{
		options:   options,
		metrics:   newAnnouncerMetrics(options.Meter),
		entries:   map[string]*entryLink{},
		fromRow:   map[string]bool{},
		withdrawn: make(chan struct{}),
		wake:      make(chan struct{}, 1),
	}, nil
}

// Leave withdraws the agent: every entry is told to send nothing new. It
// returns when all entries that can be reached have acknowledged, or when ctx
// ends. Run must still be running.
func (a *Announcer) Leave(ctx context.Context) {
	if a.leaving.CompareAndSwap(false, true) {
		close(a.withdrawn)
	}
	const poll = 10 * time.Millisecond
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	for !a.leftEverywhere() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Announcer) leftEverywhere() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, link := range a.entries {
		if !link.leftAcked {
			return false
		}
	}
	return true
}

// Entries returns the addresses of the entries that the agent registers with.
func (a *Announcer) Entries() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]string, 0, len(a.entries))
	for address := range a.entries {
		list = append(list, address)
	}
	return list
}

// Run registers until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.readRows(ctx) })
	for {
		a.reconcile(ctx, group)
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-a.wake:
		}
	}
}

// readRows learns entries from the table. A failed reading changes nothing.
func (a *Announcer) readRows(ctx context.Context) error {
	for {
		wait := entriesPollEmpty
		if a.options.Table != nil {
			rows, err := a.options.Table.List(ctx, EntryRowPrefix, "", entriesLimit)
			if err == nil {
				a.takeRows(rows)
			}
		}
		if len(a.Entries()) > 0 {
			wait = entriesPoll/2 + rand.N(entriesPoll)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

func (a *Announcer) takeRows(rows []substrate.Row) {
	named := map[string]bool{}
	for _, row := range rows {
		if entry, err := decodeEntryRow(row.Value); err == nil {
			named[entry.Address] = true
		}
	}
	a.mu.Lock()
	a.fromRow = named
	a.mu.Unlock()
	a.signal()
}

func (a *Announcer) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// reconcile starts a registration loop for each new entry and ends those of
// entries that are gone.
func (a *Announcer) reconcile(ctx context.Context, group *errgroup.Group) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	wanted := a.wanted(now)
	for address, link := range a.entries {
		if !wanted[address] && now.Sub(link.acked) > entryForget {
			link.cancel()
			delete(a.entries, address)
			a.options.Log.Info("entry dropped", zap.String("entry", address))
		}
	}
	for address := range wanted {
		if _, known := a.entries[address]; known || len(a.entries) >= entriesLimit {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		link := &entryLink{address: address, cancel: cancel, acked: now}
		a.entries[address] = link
		a.options.Log.Info("entry learned", zap.String("entry", address))
		group.Go(func() error {
			a.register(linkCtx, link)
			return nil
		})
	}
}

// wanted returns the addresses that any source names. The caller holds the
// lock.
func (a *Announcer) wanted(now time.Time) map[string]bool {
	wanted := map[string]bool{}
	for _, seed := range a.options.Seeds {
		wanted[seed] = true
	}
	for address := range a.fromRow {
		wanted[address] = true
	}
	for _, link := range a.entries {
		if now.After(link.fresh) {
			continue
		}
		for _, address := range link.names {
			wanted[address] = true
		}
	}
	return wanted
}

// isConflict reports whether err is a failed comparison.
func isConflict(err error) bool {
	var conflict *structs.ConflictError
	return errors.As(err, &conflict)
}
