package config

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/substrate"
)

// delayedTable delays the response of Changes, like a daemon that is paused
// after the read.
type delayedTable struct {
	substrate.Table
	readDone chan struct{}
	release  chan struct{}
}

func (t delayedTable) Changes(ctx context.Context, prefix string, since int64) ([]substrate.Row, int64, error) {
	rows, revision, err := t.Table.Changes(ctx, prefix, since)
	close(t.readDone)
	<-t.release
	return rows, revision, err
}

// TestWatcherResumedWithOldRowsKeepsTheNewerRevision pauses a watcher after it
// has read rows. Its holder receives a newer revision in another way before the
// watcher continues. The old rows must not replace that revision.
func TestWatcherResumedWithOldRowsKeepsTheNewerRevision(t *testing.T) {
	is := is.New(t)
	table := standin.NewTable()
	_, err := NewStore(table).Apply(t.Context(), 0, replaceTeams(testTeam("jabuka", 800)), "ana")
	is.NoErr(err)
	delayed := delayedTable{table, make(chan struct{}), make(chan struct{})}
	holder := NewHolder()
	watcher := NewWatcher(delayed, holder, NoPeers{}, zap.NewNop(), WatcherOptions{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		watcher.Poll(t.Context())
	}()
	<-delayed.readDone
	_, err = holder.ApplyIfNewer(testConfig(5, 1))
	is.NoErr(err)
	close(delayed.release)
	<-done
	is.Equal(holder.Revision(), int64(5))
}
