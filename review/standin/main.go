// Command standin plays the cases of the review. It starts the programs of the
// project as separate processes, and plays the store, the runners and the clients
// around them as the platform's pages describe them.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the scripted cases. trouble is false for a run without the disruption.
var cases = map[string]func(rec *record, trouble bool) (verdict, error){
	"rows":    playRows,
	"deadly":  playDeadly,
	"ends":    playEnds,
	"orders":  playOrders,
	"waiting": playWaiting,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins CASE RECORD")
		return exitFailed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble: %v", os.Args[1], trouble)
	v, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
	case v.broken:
		rec.add("BROKEN: %s", v.text)
	default:
		rec.add("held: %s", v.text)
	}
	if closeErr := rec.close(); err == nil {
		err = closeErr
	}
	if err != nil {
		fmt.Println("the case could not run:", err)
		return exitFailed
	}
	fmt.Println(v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
