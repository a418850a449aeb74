// Command daisywall-agent runs on a host beside its targets and tasks.
package main

import (
	"os"

	"github.com/daisywall/daisywall/daemon"
	"github.com/daisywall/daisywall/settings"
)

func main() {
	if daemon.StartedByPlatform() {
		os.Exit(daemon.PlatformMain("daisywall-agent", os.Args[1:], daemon.RunPlatformAgent))
	}
	os.Exit(daemon.Main("daisywall-agent", "Runs beside the targets and tasks of one host.", settings.DecodeAgent, daemon.RunAgent))
}
