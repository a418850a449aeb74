// Command daisywall-entry serves callers and operators on an entry host.
package main

import (
	"os"

	"github.com/daisywall/daisywall/daemon"
	"github.com/daisywall/daisywall/settings"
)

func main() {
	os.Exit(daemon.Main("daisywall-entry", "Serves callers and operators on an entry host.", settings.DecodeEntry, daemon.RunEntry))
}
