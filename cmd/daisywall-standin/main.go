// Command daisywall-standin simulates the platform and its targets for tests
// and demonstrations.
package main

import (
	"os"

	"github.com/daisywall/daisywall/daemon"
	"github.com/daisywall/daisywall/settings"
)

func main() {
	os.Exit(daemon.Main("daisywall-standin", "Simulates the platform and its targets for tests and demonstrations.", settings.DecodeStandIn, daemon.RunStandIn))
}
