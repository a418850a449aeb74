package config

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/substrate"
)

// heldTable holds back the answer to Changes, like a daemon that freezes after
// the read.
type heldTable struct {
	substrate.Table
	read    chan struct{}
	release chan struct{}
}

func (t heldTable) Changes(ctx context.Context, prefix string, since int64) ([]substrate.Row, int64, error) {
	rows, revision, err := t.Table.Changes(ctx, prefix, since)
	close(t.read)
	<-t.release
	return rows, revision, err
}

func TestWatcherWokenWithOldRowsDoesNotStepBack(t *testing.T) {
	is := is.New(t)
	table := standin.NewTable()
	_, err := NewStore(table).Apply(t.Context(), 0, put(testTeam("jabuka", 800)), "ana")
	is.NoErr(err)
	held := heldTable{table, make(chan struct{}), make(chan struct{})}
	holder := NewHolder()
	watcher := NewWatcher(held, holder, NoPeers{}, zap.NewNop(), WatcherOptions{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		watcher.Poll(t.Context())
	}()
	<-held.read
	_, err = holder.Offer(revisionOf(5, 1))
	is.NoErr(err)
	close(held.release)
	<-done
	is.Equal(holder.Revision(), int64(5))
}
