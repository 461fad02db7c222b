// Command review2 plays the scripted cases of the second review: it starts gateways as the deploy
// file does, with stand-ins of the store, the leafs and the requesters in this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(w *world){}

// maxTime is the longest time that a case may take.
const maxTime = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	// Without a reader of the output the case goes on, and ends its processes.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE)
	go func() {
		select {
		case s := <-interrupted:
			cantRun(s)
		case <-time.After(maxTime):
			cantRun("the case takes too long")
		}
	}()
	cases[os.Args[1]](newWorld(os.Args[2]))
}
