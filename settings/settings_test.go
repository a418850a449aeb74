package settings

import (
	"errors"
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

const validAgent = `{"worker":"w1","failure_domain":"kordun","rack":"r1","local_address":"127.0.0.1:7101",
"peer_address":"127.0.0.1:7201","platform":{"address":"127.0.0.1:7000"},"capacity":{"milli_cpu":16000,"memory_mb":60000}}`

func TestDecodeFillsInDefaults(t *testing.T) {
	is := is.New(t)
	agent, err := DecodeAgent([]byte(validAgent))
	is.NoErr(err)
	is.Equal(agent.Cell, structs.CellID("kordun"))
	is.Equal(agent.LogLevel, "info")
	is.Equal(agent.Platform.TimeoutMS, int64(1000))
}

func TestDecodeReportsEveryFaultTogether(t *testing.T) {
	is := is.New(t)
	_, err := DecodeAgent([]byte(`{"worker":"W!","failure_domain":"kordun","rack":"r1","local_address":"x",
"peer_address":"127.0.0.1:7201","platform":{"address":"127.0.0.1:7000"},"capacity":{"milli_cpu":0,"memory_mb":60000},"typo":1}`))
	var invalid *structs.InvalidError
	is.True(errors.As(err, &invalid))
	paths := map[string]bool{}
	for _, f := range invalid.Faults {
		paths[f.Path] = true
		is.True(f.Rule != "")
	}
	for _, want := range []string{"/", "/worker", "/local_address", "/capacity/milli_cpu"} {
		is.True(paths[want])
	}
}

func TestAddressesNeedAnIPAddressAndAValidPort(t *testing.T) {
	is := is.New(t)
	_, err := DecodeEntry([]byte(`{"entry":"e1","failure_domain":"kordun","http_address":"localhost:80","peer_address":"127.0.0.1:99999","platform":{"address":"127.0.0.1:7000"}}`))
	var invalid *structs.InvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(len(invalid.Faults), 2)
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(validAgent))
	f.Add([]byte(`{"entry":1}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, decode := range []func([]byte) error{
			func(b []byte) error { _, err := DecodeAgent(b); return err },
			func(b []byte) error { _, err := DecodeEntry(b); return err },
			func(b []byte) error { _, err := DecodeStandIn(b); return err },
		} {
			var invalid *structs.InvalidError
			if err := decode(data); err != nil && !errors.As(err, &invalid) {
				t.Fatalf("untyped error %v", err)
			}
		}
	})
}

func TestSampleSettingsAreValid(t *testing.T) {
	decoders := map[string]func([]byte) error{
		"entry":   func(b []byte) error { _, err := DecodeEntry(b); return err },
		"agent":   func(b []byte) error { _, err := DecodeAgent(b); return err },
		"standin": func(b []byte) error { _, err := DecodeStandIn(b); return err },
	}
	for name, decode := range decoders {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile("../examples/settings/" + name + ".json")
			is.NoErr(err)
			is.NoErr(decode(data))
		})
	}
}
