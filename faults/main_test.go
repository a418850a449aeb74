// Package faults brings about every fault at every step of a task's way through
// leaders, agents and runtimes, and checks what must hold by the records of the
// runtimes.
package faults

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers its flags
)

// seed makes the properties check the same cases on every run, and checks keeps
// a run short; -rapid.checks and -rapid.seed look further.
const (
	seed   = "20261203"
	checks = "30"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
