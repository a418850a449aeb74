// Command daisywall-standin simulates the platform and its targets for tests
// and demonstrations.
package main

import (
	"os"

	"github.com/daisywall/daisywall/daemon"
	"github.com/daisywall/daisywall/settings"
)

func main() {
	os.Exit(daemon.Main("daisywall-standin", "Stands in for the platform and its targets in tests and demonstrations.", settings.DecodeStandIn, daemon.RunStandIn))
}
