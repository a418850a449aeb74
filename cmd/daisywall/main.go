// Command daisywall is the command line for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/daisywall/daisywall/command"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := command.Env{Context: ctx, In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	return command.Run(env, os.Args[1:])
}
