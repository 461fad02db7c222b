package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases of the review, by name. Each returns whether the rule held.
var cases = map[string]func(w *world) bool{}

// limit is the longest time that a case may take.
const limit = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
			fail("stopped by a signal")
		case <-time.After(limit):
			fail("it took too long")
		}
	}()
	held := cases[os.Args[1]](w)
	w.sayf("rule held: %v (trouble: %v)", held, w.trouble)
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		for _, g := range w.gateways {
			os.WriteFile(dir+"/"+g.name+".log", g.log(), 0o600)
		}
	}
	cleanup()
	if !held {
		os.Exit(1)
	}
}
