package membership

import (
	"context"
	"sort"
	"sync"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/structs"
)

// LocalOptions configures LocalTargets. Zero fields take defaults.
type LocalOptions struct {
	TTL   time.Duration // default TargetTTL
	Log   *zap.Logger
	Meter metric.Meter
}

// LocalTargets holds the targets that announce themselves on one host. It drops a
// target that is not announced again within the TTL. It serves PUT and DELETE
// /v1/targets/{id} and is safe for concurrent use.
type LocalTargets struct {
	options LocalOptions
	metrics localMetrics

	mu      sync.Mutex
	targets map[structs.TargetID]*localTarget
	changed chan struct{}
}

type localTarget struct {
	target    structs.Target
	expiresAt time.Time
}

// NewLocalTargets returns an empty list.
func NewLocalTargets(options LocalOptions) *LocalTargets {
	if options.TTL == 0 {
		options.TTL = TargetTTL
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	return &LocalTargets{
		options: options,
		metrics: newLocalMetrics(options.Meter),
		targets: map[structs.TargetID]*localTarget{},
		changed: make(chan struct{}),
	}
}

// Announce adds or refreshes a target. It returns *structs.InvalidError with
// every fault of the announcement.
func (l *LocalTargets) Announce(target structs.Target) error {
	if faults := checkTarget(target); len(faults) > 0 {
		return &structs.InvalidError{Subject: "target", Faults: faults}
	}
	l.metrics.announcements.Add(context.Background(), 1)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	current, found := l.targets[target.ID]
	if found && now.Before(current.expiresAt) && equalTargets(current.target, target) {
		current.expiresAt = now.Add(l.options.TTL)
		return nil
	}
	l.targets[target.ID] = &localTarget{target: target, expiresAt: now.Add(l.options.TTL)}
	l.options.Log.Info("target announced",
		zap.String("target", string(target.ID)), zap.String("incarnation", target.Incarnation))
	l.notifyChanged()
	return nil
}

// Leave removes a target at once. Requests that it is serving continue.
func (l *LocalTargets) Leave(id structs.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, found := l.targets[id]; !found {
		return
	}
	delete(l.targets, id)
	l.metrics.left.Add(context.Background(), 1)
	l.options.Log.Info("target left", zap.String("target", string(id)))
	l.notifyChanged()
}

// Targets returns the targets that are present, ordered by ID.
func (l *LocalTargets) Targets() []structs.Target {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]structs.Target, 0, len(l.targets))
	for _, t := range l.targets {
		if now.Before(t.expiresAt) {
			list = append(list, t.target)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Target returns the target with the ID, and false if it is missing or has
// expired.
func (l *LocalTargets) Target(id structs.TargetID) (structs.Target, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, found := l.targets[id]
	if !found || !time.Now().Before(t.expiresAt) {
		return structs.Target{}, false
	}
	return t.target, true
}

// Changed returns a channel that is closed at the next change of the list.
func (l *LocalTargets) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Run removes targets whose announcements have expired, until ctx ends.
func (l *LocalTargets) Run(ctx context.Context) error {
	const sweepsPerTTL = 6
	ticker := time.NewTicker(l.options.TTL / sweepsPerTTL)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.removeExpired()
		}
	}
}

func (l *LocalTargets) removeExpired() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	removed := 0
	for id, t := range l.targets {
		if now.Before(t.expiresAt) {
			continue
		}
		delete(l.targets, id)
		removed++
		l.options.Log.Info("target expired", zap.String("target", string(id)))
	}
	if removed > 0 {
		l.metrics.expired.Add(context.Background(), int64(removed))
		l.notifyChanged()
	}
}

// notifyChanged closes and replaces the channel that Changed returns. The caller
// holds l.mu.
func (l *LocalTargets) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func equalTargets(a, b structs.Target) bool {
	if a.ID != b.ID || a.Team != b.Team || a.URL != b.URL || a.Incarnation != b.Incarnation {
		return false
	}
	if a.Slots != b.Slots || a.Connections != b.Connections || len(a.Kinds) != len(b.Kinds) {
		return false
	}
	for i := range a.Kinds {
		if a.Kinds[i] != b.Kinds[i] {
			return false
		}
	}
	return true
}
