// Command ryecourse is the query tier's only binary.
package main

import (
	"context"
	"os"

	"ryecourse.example/ryecourse/internal/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
