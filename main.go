// Command bergamotrun is a layer-4 load balancer: entries take callers' datagrams in, agents beside the
// backend servers end their flows, and contracts say what each service gets.
package main

import (
	"os"

	"github.com/bergamotrun/bergamotrun/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
