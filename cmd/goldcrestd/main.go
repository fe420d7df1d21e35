// Command goldcrestd runs one process of goldcrestport: a router with sidecars, a sidecar, or
// a direct router, which calls backend servers itself.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
