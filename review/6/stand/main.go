// Command stand plays one case of the review: it starts the agents and the entries as separate
// processes on loopback, with stand-ins of the store, the runners and the callers, and records
// what these have seen. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(play()) }

func play() int {
	programs := flag.String("programs", "target", "folder with the programs")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	name := flag.String("case", "other", "other: a runner of another service; advice: a queue with advice; checkpoints: long checkpoints; lasting: tasks that last")
	other := flag.Bool("other", true, "with a runner of another service")
	plain := flag.Bool("plain", false, "with checkpoints without markup")
	late := flag.Bool("late", true, "with an order that is carried out late")
	lose := flag.Int("lose", 2, "number of machines that are lost")
	flag.Parse()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	log, err := newRecorder(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer log.close()
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	size := shape{workers: 4, taskTime: taskTime}
	switch *name {
	case "advice":
		size = shape{workers: 11, taskTime: time.Second, advice: &policy{DecideMS: 650, EachMS: 60, ValidMS: 3000}}
	case "checkpoints":
		size = shape{workers: 6, taskTime: 15 * time.Second, checkpoint: markupCheckpoint}
		if *plain {
			size.checkpoint = plainCheckpoint
		}
	}
	if *name == "lasting" {
		size = shape{workers: 11, taskTime: time.Hour, lasts: true, lost: *lose}
	}
	s, err := newSystem(ctx, dir, *programs, log, size)
	defer s.close()
	if err != nil {
		log.printf("not run: %v", err)
		return exitNotRun
	}
	var broken bool
	switch *name {
	case "advice":
		broken, err = s.playAdvice(ctx, *trouble)
	case "checkpoints":
		broken, err = s.playCheckpoints(ctx, *trouble)
	case "lasting":
		broken, err = s.playLoss(ctx, *trouble, *late)
	default:
		broken, err = s.playOtherRunner(ctx, *trouble, *other)
	}
	switch {
	case err != nil:
		log.printf("not run: %v", err)
		return exitNotRun
	case broken:
		log.printf("the rule was broken")
		return exitBroken
	default:
		log.printf("the rule held")
		return exitHeld
	}
}
