// Command daisywall-entry serves callers and operators on an entry host.
package main

import (
	"os"

	"github.com/daisywall/daisywall/daemon"
	"github.com/daisywall/daisywall/settings"
)

func main() {
	if daemon.StartedByPlatform() {
		os.Exit(daemon.PlatformMain("daisywall-entry", os.Args[1:], daemon.RunPlatformEntry))
	}
	os.Exit(daemon.Main("daisywall-entry", "Serves callers and operators on an entry host.", settings.DecodeEntry, daemon.RunEntry))
}
