package membership

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261203")
		_ = flag.Set("rapid.nofailfile", "true")
	}
	goleak.VerifyTestMain(m)
}
