// Command standin runs stand-ins of the platform and of upstreams for tests
// and demonstrations. It is not part of the product.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"ryecourse.example/ryecourse/internal/standin/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command.New().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
