// Knapweedstall is a query tier between callers and sharded back ends.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"knapweedstall/cmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmd.Main(ctx, os.Args)
	stop()
	os.Exit(code)
}
