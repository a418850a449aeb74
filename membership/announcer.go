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
	// registerRetryInitial is the first backoff after a failed registration.
	registerRetryInitial = 100 * time.Millisecond
	// registerRetryMax bounds the backoff between failed registrations.
	registerRetryMax = 5 * time.Second
	// entryPollInterval is the mean time between reads of the entry rows.
	entryPollInterval = 30 * time.Second
	// entryPollIntervalEmpty is the time between reads while the agent has no
	// entry to register with.
	entryPollIntervalEmpty = time.Second
	// maxEntries bounds the entries that an agent or an entry keeps track of.
	maxEntries = 256
	// entryExpiry is the time after which an entry is removed that does not
	// answer and that no source names any more.
	entryExpiry = time.Minute
)

// EntryConn is a connection to one entry.
type EntryConn interface {
	daisywallpb.EntryClient
	// WaitDisconnected returns when an established connection is lost, or when
	// ctx ends.
	WaitDisconnected(ctx context.Context)
	Close() error
}

// AnnouncerOptions configures an Announcer.
type AnnouncerOptions struct {
	Worker      structs.Worker
	Incarnation string // incarnation of the agent process
	Targets     func() []structs.Target
	Changed     func() <-chan struct{} // closed at the next change of Targets
	Table       substrate.Table        // may be nil, if nil, entries are found only through Seeds and the responses of entries
	Seeds       []string               // peer addresses of entries from the settings
	Dial        func(address string) (EntryConn, error)
	// Clock returns the monotonic time since the start of the agent. It must be
	// the clock against which the agent checks the latest start of a request.
	Clock func() time.Duration
	// ConfigRevision returns the revision in force at the agent, and ApplyConfig
	// applies a newer configuration. Both may be nil.
	ConfigRevision func() int64
	ApplyConfig    func(revision int64, document []byte)
	// Leader returns the leader that the agent follows, or epoch 0 if it
	// follows none. OnLeaderHint receives the address of a leader that other
	// agents follow. Both may be nil.
	Leader       func() (epoch int64, address string)
	OnLeaderHint func(address string)
	Log          *zap.Logger
	Meter        metric.Meter
}

// Announcer registers an agent and its targets with every entry that the table,
// the settings or the responses of other entries name.
type Announcer struct {
	options  AnnouncerOptions
	metrics  announcerMetrics
	sequence atomic.Int64
	leaving  atomic.Bool

	mu             sync.Mutex
	entries        map[string]*entryLink
	rowAddresses   map[string]bool
	leaveStarted   chan struct{} // closed by Leave
	entriesChanged chan struct{} // wakes Run when the set of named entries may have changed
}

// entryLink is the state of the registration with one entry.
type entryLink struct {
	address         string
	namedEntries    []string  // addresses of entries in the last response
	namesValidUntil time.Time // time until which the agent registers with namedEntries
	lastAnswered    time.Time
	cancel          context.CancelFunc
	leaveAcked      bool
}

// NewAnnouncer returns an Announcer. It returns *structs.InvalidError if a
// required option is missing.
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
	if options.OnLeaderHint == nil {
		options.OnLeaderHint = func(string) {}
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	return &Announcer{
		options:        options,
		metrics:        newAnnouncerMetrics(options.Meter),
		entries:        map[string]*entryLink{},
		rowAddresses:   map[string]bool{},
		leaveStarted:   make(chan struct{}),
		entriesChanged: make(chan struct{}, 1),
	}, nil
}

// Leave registers the agent as leaving with every entry, so that the entries
// send it no new requests. It returns when every entry has answered this
// registration or has been removed, or when ctx ends. Run must still be
// running.
func (a *Announcer) Leave(ctx context.Context) {
	if a.leaving.CompareAndSwap(false, true) {
		close(a.leaveStarted)
	}
	const poll = 10 * time.Millisecond
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	for !a.leaveAckedByAll() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Announcer) leaveAckedByAll() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, link := range a.entries {
		if !link.leaveAcked {
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

// Run keeps the agent registered until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.pollEntryRows(ctx) })
	for {
		a.reconcile(ctx, group)
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-a.entriesChanged:
		}
	}
}

// pollEntryRows reads the addresses of entries from the table until ctx ends. A
// failed read changes nothing.
func (a *Announcer) pollEntryRows(ctx context.Context) error {
	for {
		wait := entryPollIntervalEmpty
		if a.options.Table != nil {
			rows, err := a.options.Table.List(ctx, EntryRowPrefix, "", maxEntries)
			if err == nil {
				a.setRowAddresses(rows)
			}
		}
		if len(a.Entries()) > 0 {
			wait = entryPollInterval/2 + rand.N(entryPollInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

func (a *Announcer) setRowAddresses(rows []substrate.Row) {
	named := map[string]bool{}
	for _, row := range rows {
		if entry, err := decodeEntryRow(row.Value); err == nil {
			named[entry.Address] = true
		}
	}
	a.mu.Lock()
	a.rowAddresses = named
	a.mu.Unlock()
	a.notifyEntriesChanged()
}

func (a *Announcer) notifyEntriesChanged() {
	select {
	case a.entriesChanged <- struct{}{}:
	default:
	}
}

// reconcile starts a registration loop for each new entry and ends the loops of
// expired entries.
func (a *Announcer) reconcile(ctx context.Context, group *errgroup.Group) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	wanted := a.namedAddresses(now)
	for address, link := range a.entries {
		if !wanted[address] && now.Sub(link.lastAnswered) > entryExpiry {
			link.cancel()
			delete(a.entries, address)
			a.options.Log.Info("entry expired", zap.String("entry", address))
		}
	}
	for address := range wanted {
		if _, known := a.entries[address]; known || len(a.entries) >= maxEntries {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		link := &entryLink{address: address, cancel: cancel, lastAnswered: now}
		a.entries[address] = link
		a.options.Log.Info("entry added", zap.String("entry", address))
		group.Go(func() error {
			a.keepRegistered(linkCtx, link)
			return nil
		})
	}
}

// namedAddresses returns the addresses of entries that the table, the settings
// or a response of an entry names. The caller holds a.mu.
func (a *Announcer) namedAddresses(now time.Time) map[string]bool {
	wanted := map[string]bool{}
	for _, seed := range a.options.Seeds {
		wanted[seed] = true
	}
	for address := range a.rowAddresses {
		wanted[address] = true
	}
	for _, link := range a.entries {
		if now.After(link.namesValidUntil) {
			continue
		}
		for _, address := range link.namedEntries {
			wanted[address] = true
		}
	}
	return wanted
}

// isConflict reports whether err is a failed comparison of a transaction.
func isConflict(err error) bool {
	var conflict *structs.ConflictError
	return errors.As(err, &conflict)
}
