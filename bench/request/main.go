// Command request measures the request path on loopback. Its scenarios are
// overload, with round robin without limits as the baseline, one slow target,
// silent connections, and the latency that entry and agent add. Everything runs
// in one process over real TCP connections.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

// options are the flags of the command.
type options struct {
	Run      string        `help:"What to measure." enum:"all,overload,slow,silence,added" default:"all"`
	Duration time.Duration `help:"Length of each measurement." default:"5s"`
	Loads    []float64     `help:"Multiples of the capacity." default:"0.5,1,2,4"`
	Rounds   int           `help:"Repetitions of the time added." default:"5"`
	Seed     int64         `help:"Seed of the arrivals." default:"20261203"`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Measures the path of a request."))
	parts := []struct {
		name    string
		measure func(options) error
	}{
		{"overload", measureOverload},
		{"slow", measureSlowTarget},
		{"silence", measureSilence},
		{"added", measureAddedLatency},
	}
	for _, part := range parts {
		if o.Run != "all" && o.Run != part.name {
			continue
		}
		if err := part.measure(o); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
