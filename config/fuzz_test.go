package config

import (
	"errors"
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

func addExamples(f *testing.F) {
	f.Helper()
	for _, team := range []string{"jabuka", "graz"} {
		data, err := os.ReadFile("../examples/" + team + "/config.json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
}

func FuzzDecodeTeam(f *testing.F) {
	addExamples(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		team, err := DecodeTeam(data)
		if err != nil {
			var invalid *structs.InvalidError
			is.New(t).True(errors.As(err, &invalid) && len(invalid.Faults) > 0)
			return
		}
		encoded, err := EncodeTeam(team)
		is.New(t).NoErr(err)
		same, err := DecodeTeam(encoded)
		is.New(t).NoErr(err)
		is.New(t).Equal(same, team)
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"revision": 1, "teams": []}`))
	if data, err := Encode(testConfig(3, 2)); err == nil {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		config, err := Decode(data)
		if err != nil {
			var invalid *structs.InvalidError
			is.New(t).True(errors.As(err, &invalid) && len(invalid.Faults) > 0)
			return
		}
		encoded, err := Encode(config)
		is.New(t).NoErr(err)
		same, err := Decode(encoded)
		is.New(t).NoErr(err)
		is.New(t).Equal(same, config)
	})
}

func FuzzApplyUpdate(f *testing.F) {
	leader := NewHolder()
	for revision := int64(3); revision < 5; revision++ {
		if _, err := leader.ApplyIfNewer(testConfig(revision, 2)); err != nil {
			f.Fatal(err)
		}
	}
	for _, since := range []int64{0, 3} {
		_, data := leader.UpdateSince(since)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		agent := NewHolder()
		if _, err := agent.ApplyIfNewer(testConfig(3, 2)); err != nil {
			t.Fatal(err)
		}
		accepted, err := agent.ApplyUpdateIfNewer(data)
		var base *BaseNotRetainedError
		var corrupt *CorruptError
		is := is.New(t)
		is.True(err == nil || errors.As(err, &base) || errors.As(err, &corrupt))
		is.Equal(accepted, agent.Revision() > 3)
	})
}
