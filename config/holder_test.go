package config

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// testConfig builds a configuration of n teams. The deadline of the first team
// is different in each revision.
func testConfig(revision int64, n int) *structs.Config {
	c := &structs.Config{Revision: revision}
	for i := range n {
		c.Teams = append(c.Teams, testTeam(fmt.Sprintf("team-%02d", i), 800))
	}
	c.Teams[0].Requests[0].DeadlineMS = 1000 + revision
	return c
}

func TestHolderRejectsLowerAndEqualRevisions(t *testing.T) {
	is := is.New(t)
	h := NewHolder()
	changed := h.Changed()
	for _, step := range []struct {
		revision int64
		accepted bool
	}{{2, true}, {1, false}, {2, false}, {5, true}, {4, false}} {
		accepted, err := h.ApplyIfNewer(testConfig(step.revision, 2))
		is.NoErr(err)
		is.Equal(accepted, step.accepted)
	}
	is.Equal(h.Current().Revision, int64(5))
	<-changed
}

func TestUpdateReproducesTheConfigurationOfTheSender(t *testing.T) {
	is := is.New(t)
	leader, agent := NewHolder(), NewHolder()
	for revision := int64(1); revision < 6; revision++ {
		_, err := leader.ApplyIfNewer(testConfig(revision, int(2+revision%3)))
		is.NoErr(err)
		_, data := leader.UpdateSince(agent.Revision())
		accepted, err := agent.ApplyUpdateIfNewer(data)
		is.NoErr(err)
		is.True(accepted)
		is.Equal(agent.Current(), leader.Current())
	}
	_, update := leader.UpdateSince(agent.Revision())
	is.Equal(update, nil)
}

// TestDamagedUpdateIsRejected flips a bit in each byte of an update. The
// checksum must prevent damaged content from coming into force.
func TestDamagedUpdateIsRejected(t *testing.T) {
	is := is.New(t)
	leader, agent := NewHolder(), NewHolder()
	_, err := leader.ApplyIfNewer(testConfig(3, 2))
	is.NoErr(err)
	_, full := leader.UpdateSince(0)
	_, err = leader.ApplyIfNewer(testConfig(4, 2))
	is.NoErr(err)
	_, delta := leader.UpdateSince(3)
	_, err = agent.ApplyUpdateIfNewer(delta)
	var base *BaseNotRetainedError
	is.True(errors.As(err, &base))
	for i := range full {
		damaged := append([]byte(nil), full...)
		damaged[i] ^= 1
		if accepted, _ := agent.ApplyUpdateIfNewer(damaged); accepted {
			// Only a change in the spelling of the JSON may be accepted.
			is.Equal(agent.Current().Teams, testConfig(3, 2).Teams)
			agent = NewHolder()
		}
	}
}
