// Command standin plays one case of the review: it starts the agents and the entries as separate
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

// longestCase is less than the 120 s that a script may take.
const longestCase = 110 * time.Second

// options are the arguments of the command.
type options struct {
	name, programs, record string
	trouble                bool
	other                  bool // case other: with a runner of another service
	plain                  bool // case checkpoints: checkpoints without markup
	late                   bool // case lasting: with an order that is carried out late
	lose                   int  // case lasting: machines that are lost
}

func main() {
	var o options
	flag.StringVar(&o.name, "case", "other", "other: a runner of another service; advice: a queue with advice; checkpoints: long checkpoints; lasting: tasks that last")
	flag.StringVar(&o.programs, "programs", "target", "folder with the programs")
	flag.StringVar(&o.record, "record", "record.txt", "file for what was sent, answered and run")
	flag.BoolVar(&o.trouble, "trouble", true, "with the disruption")
	flag.BoolVar(&o.other, "other", true, "with a runner of another service")
	flag.BoolVar(&o.plain, "plain", false, "with checkpoints without markup")
	flag.BoolVar(&o.late, "late", true, "with an order that is carried out late")
	flag.IntVar(&o.lose, "lose", 2, "number of machines that are lost")
	flag.Parse()
	os.Exit(o.run())
}

// run plays the case and returns the exit code.
func (o options) run() int {
	log, err := newRecorder(o.record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer log.close()
	broken, err := o.play(log)
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

// play starts the deployment, plays the case and ends all processes.
func (o options) play(log *recorder) (broken bool, err error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), longestCase)
	defer cancel()
	s, err := newSystem(ctx, dir, o.programs, log, o.shape())
	defer s.close()
	if err != nil {
		return false, err
	}
	switch o.name {
	case "advice":
		return s.playAdvice(ctx, o.trouble)
	case "checkpoints":
		return s.playCheckpoints(ctx, o.trouble)
	case "lasting":
		return s.playLoss(ctx, o.trouble, o.late)
	default:
		return s.playOtherRunner(ctx, o.trouble, o.other)
	}
}

// shape returns the deployment of the case.
func (o options) shape() shape {
	switch o.name {
	case "advice":
		return shape{workers: 11, taskTime: time.Second, advice: &policy{DecideMS: 650, EachMS: 60, ValidMS: 3000}}
	case "checkpoints":
		if o.plain {
			return shape{workers: 6, taskTime: 15 * time.Second, checkpoint: plainCheckpoint}
		}
		return shape{workers: 6, taskTime: 15 * time.Second, checkpoint: markupCheckpoint}
	case "lasting":
		return shape{workers: 11, taskTime: time.Hour, lasts: true, lost: o.lose}
	default:
		return shape{workers: 4, taskTime: taskTime}
	}
}
