package placement

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261203")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
