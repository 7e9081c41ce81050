// Knapweedstall is a query tier between callers and sharded back ends.
package main

import (
	"os"

	"knapweedstall/cmd"
)

func main() { os.Exit(cmd.Main(os.Args)) }
