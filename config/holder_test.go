package config

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// revisionOf builds a configuration of n teams; the first tells revisions
// apart.
func revisionOf(revision int64, n int) *structs.Config {
	c := &structs.Config{Revision: revision}
	for i := range n {
		c.Teams = append(c.Teams, testTeam(fmt.Sprintf("team-%02d", i), 800))
	}
	c.Teams[0].Requests[0].DeadlineMS = 1000 + revision
	return c
}

func TestHolderNeverStepsBack(t *testing.T) {
	is := is.New(t)
	h := NewHolder()
	changed := h.Changed()
	for _, step := range []struct {
		revision int64
		taken    bool
	}{{2, true}, {1, false}, {2, false}, {5, true}, {4, false}} {
		taken, err := h.Offer(revisionOf(step.revision, 2))
		is.NoErr(err)
		is.Equal(taken, step.taken)
	}
	is.Equal(h.Current().Revision, int64(5))
	<-changed
}

func TestUpdatesBringAHolderToTheSameConfiguration(t *testing.T) {
	is := is.New(t)
	leader, agent := NewHolder(), NewHolder()
	for revision := int64(1); revision < 6; revision++ {
		_, err := leader.Offer(revisionOf(revision, int(2+revision%3)))
		is.NoErr(err)
		_, data := leader.UpdateSince(agent.Revision())
		taken, err := agent.OfferUpdate(data)
		is.NoErr(err)
		is.True(taken)
		is.Equal(agent.Current(), leader.Current())
	}
	_, none := leader.UpdateSince(agent.Revision())
	is.Equal(none, nil)
}

func TestDamagedUpdatesAreRefused(t *testing.T) {
	is := is.New(t)
	leader, agent := NewHolder(), NewHolder()
	_, err := leader.Offer(revisionOf(3, 2))
	is.NoErr(err)
	_, full := leader.UpdateSince(0)
	_, err = leader.Offer(revisionOf(4, 2))
	is.NoErr(err)
	_, delta := leader.UpdateSince(3)
	_, err = agent.OfferUpdate(delta)
	var base *BaseError
	is.True(errors.As(err, &base))
	for i := range full {
		damaged := append([]byte(nil), full...)
		damaged[i] ^= 1
		if taken, _ := agent.OfferUpdate(damaged); taken {
			// Only a change of the spelling of the JSON may pass.
			is.Equal(agent.Current().Teams, revisionOf(3, 2).Teams)
			agent = NewHolder()
		}
	}
}
